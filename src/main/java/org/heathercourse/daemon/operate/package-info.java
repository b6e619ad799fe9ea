/** Metrics and status of a daemon for operators. */
package org.heathercourse.daemon.operate;
