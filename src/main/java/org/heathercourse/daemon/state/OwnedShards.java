package org.heathercourse.daemon.state;

import java.util.List;
import org.heathercourse.core.model.ShardId;

/** The shards owned by this daemon, and requests of the control thread to the other loops. */
interface OwnedShards {
    boolean contains(ShardId shard);

    List<OwnedShard> shards();

    /** Adds a shard, which is served from now on. */
    void add(OwnedShard shard);

    /** Schedules a flush. */
    void requestFlush();

    /** Schedules an early scan. */
    void requestScan();

    /** Removes programs whose retention after their end has expired. */
    void expirePrograms(long nowMillis);

    /** Runs a task that calls the object store on the background executor. */
    void runInBackground(Runnable task);
}
