package org.heathercourse.daemon.state;

import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;

/** Learns of released shards, for instance to tell the successor. Must not block. */
@FunctionalInterface
public interface HandoverListener {
    /** Listener that does nothing; successors then find the shard at their next scan. */
    HandoverListener NONE = (shard, successor) -> {};

    /**
     * Called after the release of a shard is durable.
     *
     * @param shard the shard
     * @param successor daemon that should take it; null if there is none
     */
    void released(ShardId shard, VmId successor);
}
