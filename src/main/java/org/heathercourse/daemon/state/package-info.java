/** Ownership of shards by leases and fencing, the commit of their logs, and recovery. */
package org.heathercourse.daemon.state;
