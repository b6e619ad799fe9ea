package org.heathercourse.core.freshness;

import org.heathercourse.core.time.SuspendAwareClock;

/**
 * How long ago the newest state of a table was certainly known.
 *
 * <p>A read shows everything that was written before it began, so its age counts from its start.
 * Safe for use by several threads.
 */
public final class ReadFreshness {
    /** Age of a table that was never read. */
    public static final long NEVER_MILLIS = Long.MAX_VALUE;

    private final SuspendAwareClock mTicker;
    private volatile SuspendAwareClock.Timestamp mStarted;

    /**
     * Creates the freshness of a table that has not been read.
     *
     * @param ticker source of moments
     */
    public ReadFreshness(SuspendAwareClock ticker) {
        mTicker = ticker;
    }

    /**
     * Notes a successful read.
     *
     * @param started moment before the read was sent
     */
    public synchronized void recordRead(SuspendAwareClock.Timestamp started) {
        if (mStarted == null || started.tickerMillis() > mStarted.tickerMillis()) {
            mStarted = started;
        }
    }

    /** Returns the age in milliseconds, or {@link #NEVER_MILLIS}. */
    public long ageMillis() {
        SuspendAwareClock.Timestamp started = mStarted;
        return started == null ? NEVER_MILLIS : mTicker.millisSince(started);
    }

    /** Returns whether the last read is younger than a bound in milliseconds. */
    public boolean isYoungerThan(long boundMillis) {
        return ageMillis() < boundMillis;
    }
}
