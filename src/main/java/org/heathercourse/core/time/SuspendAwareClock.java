package org.heathercourse.core.time;

import java.time.Clock;

/**
 * Measures ages that keep growing while the VM is suspended.
 *
 * <p>The steady ticker stands still during a suspension and the time of day may be set back, so an
 * age is the larger of what both show. Immutable and safe for use by several threads.
 */
public final class SuspendAwareClock {
    private final Ticker mTicker;
    private final Clock mClock;

    /** A moment by both time sources. Immutable. */
    public record Timestamp(long tickerMillis, long wallMillis) {}

    /**
     * Creates a source of moments.
     *
     * @param ticker steady time
     * @param clock time of day
     */
    public SuspendAwareClock(Ticker ticker, Clock clock) {
        mTicker = ticker;
        mClock = clock;
    }

    /** Returns the present moment. */
    public Timestamp now() {
        return new Timestamp(mTicker.readMillis(), mClock.millis());
    }

    /** Returns the time in milliseconds since a moment, by whichever source shows more. */
    public long millisSince(Timestamp moment) {
        return Math.max(
                mTicker.readMillis() - moment.tickerMillis(),
                mClock.millis() - moment.wallMillis());
    }
}
