package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.ShardId;

/** {@link OwnedShards} over the map and the timers of a state engine. Thread-safe. */
final class EngineOwnedShards implements OwnedShards {
    private final Map<ShardId, OwnedShard> mShards;
    private final StateTimers mTimers;

    EngineOwnedShards(Map<ShardId, OwnedShard> shards, StateTimers timers) {
        mShards = shards;
        mTimers = timers;
    }

    @Override
    public boolean contains(ShardId shard) {
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
    public void requestFlush() {
        mTimers.requestFlush();
    }

    @Override
    public void expirePrograms(long nowMillis) {
        mShards.values().forEach(shard -> shard.expirePrograms(nowMillis));
    }

    @Override
    public void requestScan() {
        mTimers.requestScan();
    }

    @Override
    public void runInBackground(Runnable task) {
        mTimers.runInBackground(task);
    }
}
