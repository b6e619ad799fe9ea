/** Ownership of shards, the commit of their logs and recovery after a takeover. */
package org.heathercourse.daemon.state;
