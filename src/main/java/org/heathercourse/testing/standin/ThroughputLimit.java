package org.heathercourse.testing.standin;

import org.heathercourse.core.time.Ticker;

/** Limits the request rate of a store by delaying requests. Thread-safe. */
final class ThroughputLimit {
    private final Ticker mTicker;
    private final double mRequestsPerSecond;
    private long mNextSlotNanos;

    /**
     * Creates a limit.
     *
     * @param ticker time source
     * @param requestsPerSecond maximum rate; 0 for no limit
     */
    ThroughputLimit(Ticker ticker, double requestsPerSecond) {
        mTicker = ticker;
        mRequestsPerSecond = requestsPerSecond;
        mNextSlotNanos = ticker.readNanos();
    }

    /** Reserves the next free slot; returns the delay until it in nanoseconds. */
    synchronized long reserveDelayNanos() {
        if (mRequestsPerSecond <= 0) {
            return 0;
        }
        long nowNanos = mTicker.readNanos();
        long delayNanos = Math.max(0, mNextSlotNanos - nowNanos);
        mNextSlotNanos = nowNanos + delayNanos + (long) (1e9 / mRequestsPerSecond);
        return delayNanos;
    }
}
