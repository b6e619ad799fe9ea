package org.heathercourse.daemon.state;

import java.util.concurrent.atomic.AtomicInteger;

/** Counter of consecutive failed writes to the store. Thread-safe. */
final class StoreHealth {
    /** A single failure may be a lost reply; two consecutive ones count as an outage. */
    private static final int FAILURES_UNTIL_DOWN = 2;

    private final AtomicInteger mFailures = new AtomicInteger();

    void recordSuccess() {
        mFailures.set(0);
    }

    void recordFailure() {
        mFailures.accumulateAndGet(1, (now, one) -> Math.min(now + one, FAILURES_UNTIL_DOWN));
    }

    boolean down() {
        return mFailures.get() >= FAILURES_UNTIL_DOWN;
    }
}
