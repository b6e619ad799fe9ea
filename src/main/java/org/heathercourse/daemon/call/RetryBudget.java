package org.heathercourse.daemon.call;

import org.heathercourse.core.time.Ticker;

/**
 * Token bucket that limits retries to a ratio of the calls plus a small minimum rate, so that
 * retries cannot multiply the load of targets that fail under load. Safe for use by several
 * threads.
 */
final class RetryBudget {
    private static final double MIN_RETRIES_PER_SECOND = 0.5;
    private static final double MAX_TOKENS = 20;

    private final Ticker mTicker;
    private double mTokens = MAX_TOKENS / 4;
    private long mRefillTimestampNanos;
    private long mRetryCount;

    RetryBudget(Ticker ticker) {
        mTicker = ticker;
        mRefillTimestampNanos = ticker.readNanos();
    }

    /**
     * Adds the retries allowed for one call.
     *
     * @param ratio retries per call
     */
    synchronized void onCall(double ratio) {
        mTokens = Math.min(MAX_TOKENS, mTokens + ratio);
    }

    /** Takes one retry from the budget; returns whether it had one. */
    synchronized boolean tryAcquire() {
        long now = mTicker.readNanos();
        mTokens =
                Math.min(
                        MAX_TOKENS,
                        mTokens + (now - mRefillTimestampNanos) / 1e9 * MIN_RETRIES_PER_SECOND);
        mRefillTimestampNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        mRetryCount++;
        return true;
    }

    /** Returns the number of retries since start. */
    synchronized long retryCount() {
        return mRetryCount;
    }
}
