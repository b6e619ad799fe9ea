package org.heathercourse.daemon.state;

import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;

/** Callback for released shards, for instance to notify the successor. Must not block. */
@FunctionalInterface
public interface HandoverListener {
    /** Listener that does nothing; the successor then finds the shard at its next scan. */
    HandoverListener NONE = (shard, successor) -> {};

    /**
     * Called when the release of a shard is durable.
     *
     * @param shard the shard
     * @param successor daemon that should take over the shard; null if there is none
     */
    void released(ShardId shard, VmId successor);
}
