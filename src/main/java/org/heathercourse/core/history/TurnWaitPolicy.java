package org.heathercourse.core.history;

/**
 * Decides how long a turn may wait for the store of histories.
 *
 * <p>Load pattern: the store is away for seconds, or replies much later than usual. A turn that
 * waits for its history until its deadline could no longer run, and a gateway that leaves must not
 * wait longer for the end of a turn than it may for responses. Stateless and safe for use by
 * several threads.
 */
public final class TurnWaitPolicy {
    /** Ratio of the time left that a turn may wait for its history; the rest is to run it. */
    private static final double MAX_READ_RATIO = 0.45;

    private TurnWaitPolicy() {}

    /**
     * Returns how long a turn may wait for its history.
     *
     * @param remainingMillis time until the deadline of the turn, in milliseconds
     * @return maximum wait in milliseconds, 0 or more
     */
    public static long maxReadMillis(long remainingMillis) {
        return Math.max(0, (long) (remainingMillis * MAX_READ_RATIO));
    }

    /**
     * Returns how long the end of a turn may wait until the turn is durable.
     *
     * @param remainingMillis time until the deadline of the turn, in milliseconds
     * @param millisToResponseEnd time until the gateway must have ended all responses, in
     *     milliseconds
     * @return maximum wait in milliseconds, 0 or more
     */
    public static long maxWriteMillis(long remainingMillis, long millisToResponseEnd) {
        return Math.max(0, Math.min(remainingMillis, millisToResponseEnd));
    }
}
