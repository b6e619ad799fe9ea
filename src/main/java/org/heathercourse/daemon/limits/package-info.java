/** The fleet-wide rate limit as traffic threads and the control thread use it. */
package org.heathercourse.daemon.limits;
