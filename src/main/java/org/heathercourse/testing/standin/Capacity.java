package org.heathercourse.testing.standin;

import org.heathercourse.core.time.Ticker;

/** A limit on the requests that a store serves in a second. Safe for use by several threads. */
final class Capacity {
    private final Ticker mTicker;
    private final double mPerSecond;
    private long mFreeNanos;

    /**
     * Creates a limit.
     *
     * @param ticker time source
     * @param perSecond requests in a second; 0 for no limit
     */
    Capacity(Ticker ticker, double perSecond) {
        mTicker = ticker;
        mPerSecond = perSecond;
        mFreeNanos = ticker.readNanos();
    }

    /** Takes the next free place and returns the nanoseconds until the request is served. */
    synchronized long takeDelayNanos() {
        if (mPerSecond <= 0) {
            return 0;
        }
        long now = mTicker.readNanos();
        long delayNanos = Math.max(0, mFreeNanos - now);
        mFreeNanos = now + delayNanos + (long) (1e9 / mPerSecond);
        return delayNanos;
    }
}
