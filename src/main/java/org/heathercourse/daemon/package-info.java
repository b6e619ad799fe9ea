/** The daemon: moves bytes between callers, other daemons, targets and the platform. */
package org.heathercourse.daemon;
