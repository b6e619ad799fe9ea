package org.heathercourse.core.time;

/**
 * A monotonic time source for measuring elapsed time.
 *
 * <p>Leases, timeouts and token buckets measure elapsed time with a ticker and not with the wall
 * clock, which may jump. Tests use a ticker that they advance explicitly.
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Ticker {
    /**
     * Returns the elapsed time since an arbitrary fixed origin.
     *
     * @return time in nanoseconds; only the difference between two values is meaningful
     */
    long readNanos();

    /**
     * Returns the elapsed time since an arbitrary fixed origin.
     *
     * @return time in milliseconds; only the difference between two values is meaningful
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
