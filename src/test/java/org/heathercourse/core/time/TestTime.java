package org.heathercourse.core.time;

import java.time.Instant;
import java.time.ZoneOffset;
import org.threeten.extra.MutableClock;

/**
 * A ticker and a wall clock that a test advances together or separately. Not safe for use by
 * several threads.
 */
public final class TestTime {
    private final MutableClock mClock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    private long mNanos;

    /** Returns the ticker. */
    public Ticker ticker() {
        return () -> mNanos;
    }

    /** Returns the wall clock. */
    public java.time.Clock wallClock() {
        return mClock;
    }

    /** Returns a clock over the ticker and the wall clock. */
    public SuspendAwareClock suspendAwareClock() {
        return new SuspendAwareClock(ticker(), mClock);
    }

    /** Advances the ticker and the wall clock. */
    public void advanceMillis(long millis) {
        mNanos += millis * 1_000_000;
        shiftClock(millis);
    }

    /** Simulates a suspension of the VM: only the wall clock advances. */
    public void suspend(long millis) {
        shiftClock(millis);
    }

    /** Moves the wall clock forward, or back if negative. */
    public void shiftClock(long millis) {
        mClock.add(java.time.Duration.ofMillis(millis));
    }
}
