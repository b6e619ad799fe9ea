package org.heathercourse.core.time;

/**
 * A monotonic time source for durations.
 *
 * <p>Leases, timeouts and rate buckets measure elapsed time with a ticker and never with the wall
 * clock, which may jump. Tests inject a ticker that they advance by hand.
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Ticker {
    /**
     * Returns the elapsed time since an arbitrary fixed origin.
     *
     * @return time in nanoseconds; only differences between two readings have a meaning
     */
    long readNanos();

    /**
     * Returns the elapsed time since an arbitrary fixed origin.
     *
     * @return time in milliseconds; only differences between two readings have a meaning
     */
    default long readMillis() {
        return readNanos() / 1_000_000L;
    }

    /**
     * Returns the ticker of the Java runtime.
     *
     * @return a ticker over {@link System#nanoTime()}, which keeps counting while a process is
     *     stopped
     */
    static Ticker system() {
        return System::nanoTime;
    }
}
