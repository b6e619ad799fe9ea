package org.heathercourse.gateway;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.util.concurrent.atomic.AtomicLong;

/** The system's clock, which a test advances as the end of a suspension does. Thread-safe. */
final class SteppedClock extends Clock {
    private final Clock mSystem = Clock.systemUTC();
    private final AtomicLong mOffsetMillis = new AtomicLong();

    void advance(long millis) {
        mOffsetMillis.addAndGet(millis);
    }

    @Override
    public Instant instant() {
        return mSystem.instant().plusMillis(mOffsetMillis.get());
    }

    @Override
    public ZoneId getZone() {
        return mSystem.getZone();
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new UnsupportedOperationException("the clock has no zone, expected millis()");
    }
}
