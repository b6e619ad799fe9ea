package org.heathercourse.core.time;

import java.time.Clock;

/**
 * Measures elapsed time including time during which the VM is suspended.
 *
 * <p>The monotonic ticker does not advance while the VM is suspended, and the wall clock may be set
 * back, so the elapsed time is the maximum of both. Immutable and safe for use by several threads.
 */
public final class SuspendAwareClock {
    private final Ticker mTicker;
    private final Clock mClock;

    /**
     * A time as given by both time sources. Immutable.
     *
     * @param tickerMillis ticker time in milliseconds
     * @param wallMillis wall-clock time in milliseconds since the epoch
     */
    public record Timestamp(long tickerMillis, long wallMillis) {}

    /**
     * Creates a clock.
     *
     * @param ticker monotonic time source
     * @param clock wall clock
     */
    public SuspendAwareClock(Ticker ticker, Clock clock) {
        mTicker = ticker;
        mClock = clock;
    }

    /** Returns the current time. */
    public Timestamp now() {
        return new Timestamp(mTicker.readMillis(), mClock.millis());
    }

    /** Returns the time in milliseconds since a timestamp: the maximum of both time sources. */
    public long millisSince(Timestamp timestamp) {
        return Math.max(
                mTicker.readMillis() - timestamp.tickerMillis(),
                mClock.millis() - timestamp.wallMillis());
    }
}
