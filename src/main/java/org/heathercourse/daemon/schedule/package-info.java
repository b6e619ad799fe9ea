/** Connects the scheduling decisions with the traffic and with reports of targets. */
package org.heathercourse.daemon.schedule;
