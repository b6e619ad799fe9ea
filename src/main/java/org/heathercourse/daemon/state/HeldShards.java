package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.ShardId;

/**
 * The shards of a state engine as its control thread uses them. Safe for use by several threads.
 */
final class HeldShards implements Holdings {
    private final Map<ShardId, OwnedShard> mShards;
    private final StateTimers mTimers;

    HeldShards(Map<ShardId, OwnedShard> shards, StateTimers timers) {
        mShards = shards;
        mTimers = timers;
    }

    @Override
    public boolean holds(ShardId shard) {
        return mShards.containsKey(shard);
    }

    @Override
    public List<OwnedShard> shards() {
        return List.copyOf(mShards.values());
    }

    @Override
    public void add(OwnedShard shard) {
        mShards.put(shard.id(), shard);
    }

    @Override
    public void flushNeeded() {
        mTimers.flushSoon();
    }

    @Override
    public void expire(long nowMillis) {
        mShards.values().forEach(shard -> shard.expire(nowMillis));
    }

    @Override
    public void scanNeeded() {
        mTimers.scanSoon();
    }

    @Override
    public void background(Runnable task) {
        mTimers.background(task);
    }
}
