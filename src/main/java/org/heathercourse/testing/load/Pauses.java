package org.heathercourse.testing.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits of load drivers, which run in real time. */
public final class Pauses {
    private Pauses() {}

    /**
     * Waits.
     *
     * @param millis time in milliseconds
     */
    public static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
