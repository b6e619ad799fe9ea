package org.heathercourse.testing.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Real-time pauses for load drivers. */
public final class Pauses {
    private Pauses() {}

    /**
     * Blocks the thread; may return early if the thread is interrupted.
     *
     * @param millis duration in milliseconds
     */
    public static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
