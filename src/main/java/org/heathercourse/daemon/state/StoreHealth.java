package org.heathercourse.daemon.state;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts consecutive failed writes to the store. Safe for use by several threads. */
final class StoreHealth {
    /** One failure may be a lost reply; two in a row without a success count as an outage. */
    private static final int FAILURES_UNTIL_DOWN = 2;

    private final AtomicInteger mFailures = new AtomicInteger();

    void succeeded() {
        mFailures.set(0);
    }

    void failed() {
        mFailures.accumulateAndGet(1, (now, one) -> Math.min(now + one, FAILURES_UNTIL_DOWN));
    }

    boolean down() {
        return mFailures.get() >= FAILURES_UNTIL_DOWN;
    }
}
