package org.heathercourse.core.time;

import java.time.Instant;
import java.time.ZoneOffset;
import org.threeten.extra.MutableClock;

/** Steady time and time of day that a test moves, together or apart. */
public final class TestTime {
    private final MutableClock mClock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    private long mNanos;

    /** Returns the steady time. */
    public Ticker ticker() {
        return () -> mNanos;
    }

    /** Returns a source of moments. */
    public SuspendAwareClock suspendAwareClock() {
        return new SuspendAwareClock(ticker(), mClock);
    }

    /** Lets time pass. */
    public void advanceMillis(long millis) {
        mNanos += millis * 1_000_000;
        shiftClock(millis);
    }

    /** Suspends the VM: only the time of day goes on. */
    public void suspend(long millis) {
        shiftClock(millis);
    }

    /** Sets the time of day forward or back. */
    public void shiftClock(long millis) {
        mClock.add(java.time.Duration.ofMillis(millis));
    }
}
