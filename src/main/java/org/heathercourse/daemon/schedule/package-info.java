/** Connects the scheduler with the calls of this daemon and the load reports of targets. */
package org.heathercourse.daemon.schedule;
