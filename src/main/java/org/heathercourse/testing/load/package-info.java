/** Load drivers: a caller client with failover, and programs that check their answers. */
package org.heathercourse.testing.load;
