package org.heathercourse.gateway.target;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetList;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.platform.entry.CallFormat;

/** The connections to all targets, by run. Confined to the traffic loop. */
public final class TargetPools {
    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final CallFormat mFormat;
    private final TargetPool.PoolEvents mEvents;
    private final Map<String, TargetPool> mPools = new HashMap<>();

    /**
     * Creates pools without connections.
     *
     * @param loop event loop that carries traffic
     * @param ticker steady time
     * @param format headers of answers
     * @param events counts what happens
     */
    public TargetPools(
            EventLoop loop, Ticker ticker, CallFormat format, TargetPool.PoolEvents events) {
        mLoop = loop;
        mTicker = ticker;
        mFormat = format;
        mEvents = events;
    }

    /** Returns the pool of a target; a new run of a target gets a new one. */
    public TargetPool pool(Target target) {
        TargetPool pool = mPools.get(target.id());
        if (pool == null || !pool.target().isSameIncarnation(target)) {
            if (pool != null) {
                pool.retire();
            }
            pool = new TargetPool(target, mLoop, mTicker, mFormat, mEvents);
            mPools.put(target.id(), pool);
        }
        return pool;
    }

    /** Drops the pools of targets that are gone. */
    public void retainAll(TargetList targets) {
        mPools.values()
                .removeIf(
                        pool -> {
                            boolean gone = !targets.contains(pool.target());
                            if (gone) {
                                pool.retire();
                            }
                            return gone;
                        });
    }
}
