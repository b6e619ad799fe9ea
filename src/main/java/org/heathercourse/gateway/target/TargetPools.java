package org.heathercourse.gateway.target;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetList;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.platform.entry.CallFormat;

/** Connection pools by target, each for one incarnation. Confined to the traffic loop. */
public final class TargetPools {
    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final CallFormat mFormat;
    private final TargetPool.PoolEvents mEvents;
    private final MemoryBudget mMemory;
    private final Consumer<Target> mOnLeaving;
    private final Map<String, TargetPool> mPools = new HashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param loop event loop of the connections
     * @param ticker monotonic clock
     * @param format parses the platform's response headers
     * @param events listener for events of the pools
     * @param memory budget for the heads of responses
     * @param onLeaving called with each response in which a target says that it leaves
     */
    public TargetPools(
            EventLoop loop,
            Ticker ticker,
            CallFormat format,
            TargetPool.PoolEvents events,
            MemoryBudget memory,
            Consumer<Target> onLeaving) {
        mLoop = loop;
        mTicker = ticker;
        mFormat = format;
        mEvents = events;
        mMemory = memory;
        mOnLeaving = onLeaving;
    }

    /** Returns the pool of a target; a new incarnation of the target gets a new pool. */
    public TargetPool pool(Target target) {
        TargetPool pool = mPools.get(target.id());
        if (pool == null || !pool.target().isSameIncarnation(target)) {
            if (pool != null) {
                pool.retire();
            }
            pool = new TargetPool(target, mLoop, mTicker, mFormat, mEvents, mMemory, mOnLeaving);
            mPools.put(target.id(), pool);
        }
        return pool;
    }

    /** Returns the number of requests of this gateway at targets in the given zones. */
    public int inFlight(Set<Zone> zones) {
        return mPools.values().stream()
                .filter(pool -> zones.contains(pool.target().zone()))
                .mapToInt(pool -> pool.load().inFlight())
                .sum();
    }

    /** Retires and removes the pools of targets that are not in the list. */
    public void retainAll(TargetList targets) {
        mPools.values()
                .removeIf(
                        pool -> {
                            boolean isUnlisted = !targets.contains(pool.target());
                            if (isUnlisted) {
                                pool.retire();
                            }
                            return isUnlisted;
                        });
    }
}
