/**
 * The faults bench: real daemons under load with faults drawn from a seed, judged only by what
 * callers, targets and stand-ins saw.
 */
package org.heathercourse.testing.bench.faults;
