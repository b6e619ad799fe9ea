/** Stand-ins for outside services, the fault-injecting proxy, load drivers and benches. */
package org.heathercourse.testing;
