/**
 * The fault-injection bench: real daemons under load with random faults from a seed. Guarantees are
 * checked only against the records of callers, targets and stand-ins.
 */
package org.heathercourse.testing.bench.faults;
