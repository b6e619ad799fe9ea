package org.heathercourse.testing;

import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.time.Ticker;

/** A ticker whose time changes only when it is advanced. Thread-safe. */
public final class ManualTicker implements Ticker {
    private final AtomicLong mNanos = new AtomicLong();

    @Override
    public long readNanos() {
        return mNanos.get();
    }

    /**
     * Advances the time.
     *
     * @param millis milliseconds to add
     */
    public void advanceMillis(long millis) {
        mNanos.addAndGet(millis * 1_000_000L);
    }
}
