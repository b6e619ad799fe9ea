package org.heathercourse.daemon.call;

import org.heathercourse.core.time.Ticker;

/**
 * Limits retries to a share of calls plus a small minimum rate, so that retries cannot multiply the
 * load of targets that fail under load. Safe for use by several threads.
 */
final class RetryBudget {
    private static final double MIN_PER_SECOND = 0.5;
    private static final double MAX_SAVED = 20;

    private final Ticker mTicker;
    private double mTokens = MAX_SAVED / 4;
    private long mReadNanos;
    private long mRetries;

    RetryBudget(Ticker ticker) {
        mTicker = ticker;
        mReadNanos = ticker.readNanos();
    }

    /** Adds the share of one call. */
    synchronized void onCall(double ratio) {
        mTokens = Math.min(MAX_SAVED, mTokens + ratio);
    }

    /** Takes one retry if the budget allows. */
    synchronized boolean tryRetry() {
        long now = mTicker.readNanos();
        mTokens = Math.min(MAX_SAVED, mTokens + (now - mReadNanos) / 1e9 * MIN_PER_SECOND);
        mReadNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        mRetries++;
        return true;
    }

    /** Returns the retries taken so far. */
    synchronized long retries() {
        return mRetries;
    }
}
