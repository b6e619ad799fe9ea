package org.heathercourse.core.freshness;

import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Age of the most recent successful read of a table.
 *
 * <p>A read returns everything that was written before it began, so its age counts from its start.
 * Safe for use by several threads.
 */
public final class ReadFreshness {
    /** Age of a table that was never read. */
    public static final long NEVER_MILLIS = Long.MAX_VALUE;

    private final SuspendAwareClock mClock;
    private volatile SuspendAwareClock.Timestamp mReadStarted;

    /**
     * Creates an instance for a table that has not been read.
     *
     * @param clock clock that counts suspensions of the VM
     */
    public ReadFreshness(SuspendAwareClock clock) {
        mClock = clock;
    }

    /**
     * Records a successful read; a read that started before one already recorded is ignored.
     *
     * @param started time before the read was sent
     */
    public synchronized void recordRead(SuspendAwareClock.Timestamp started) {
        if (mReadStarted == null || started.tickerMillis() > mReadStarted.tickerMillis()) {
            mReadStarted = started;
        }
    }

    /**
     * Returns the age of the last read in milliseconds, or {@link #NEVER_MILLIS} if there is none.
     */
    public long ageMillis() {
        SuspendAwareClock.Timestamp started = mReadStarted;
        return started == null ? NEVER_MILLIS : mClock.millisSince(started);
    }

    /** Returns whether the last read is younger than a maximum age in milliseconds. */
    public boolean isYoungerThan(long maxAgeMillis) {
        return ageMillis() < maxAgeMillis;
    }
}
