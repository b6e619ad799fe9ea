package org.heathercourse.daemon.state;

import java.util.List;
import org.heathercourse.core.model.ShardId;

/** The shards held by this daemon, as the control thread uses them. */
interface Holdings {
    boolean holds(ShardId shard);

    List<OwnedShard> shards();

    /** Starts to serve a shard. */
    void add(OwnedShard shard);

    /** Some shards may have something to write. */
    void flushNeeded();

    /** A takeover can go on. */
    void scanNeeded();

    /** Removes programs that ended long ago. */
    void expire(long nowMillis);

    /** Runs a task that reads or writes objects, apart from the control thread. */
    void background(Runnable task);
}
