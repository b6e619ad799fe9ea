/** Simulated external services, a fault-injecting proxy, load drivers and benches. */
package org.heathercourse.testing;
