package org.heathercourse.core.limits;

/**
 * Decides how long a request may wait for a token of its workspace's rate.
 *
 * <p>Programs send a dozen requests at once while their workspace stays below its rate over some
 * seconds. A call that is rejected twice fails its whole program, so requests of a program that has
 * begun wait for the next tokens. Requests of a program that has not begun are rejected sooner and
 * retried later, which keeps the queue short for programs that have begun. Stateless and safe for
 * use by several threads.
 */
public final class RateWaitPolicy {
    /**
     * Ratio of the time until the deadline that a request may wait; the rest is needed to run it.
     */
    private static final double MAX_WAIT_RATIO = 0.45;

    /**
     * Maximum wait in milliseconds. Calls with a deadline of 1.2 s may wait this long, so requests
     * with longer deadlines do not fill the queue ahead of them.
     */
    public static final long MAX_WAIT_MILLIS = 500;

    /** Maximum wait in milliseconds of a program that has not begun. */
    static final long NEW_PROGRAM_MAX_WAIT_MILLIS = 300;

    /** Minimum time in milliseconds after which a program that has not begun may retry. */
    private static final long NEW_PROGRAM_MIN_RETRY_MILLIS = 500;

    private RateWaitPolicy() {}

    /**
     * Returns how much longer a request may wait.
     *
     * @param waitedMillis time that the request has waited, in milliseconds
     * @param remainingMillis time until the deadline of the request, in milliseconds
     * @param newProgram whether its program has not begun and is not urgent
     * @return remaining wait in milliseconds, 0 or more
     */
    public static long remainingWaitMillis(
            long waitedMillis, long remainingMillis, boolean newProgram) {
        long maxMillis = newProgram ? NEW_PROGRAM_MAX_WAIT_MILLIS : MAX_WAIT_MILLIS;
        long maxByDeadlineMillis = (long) ((waitedMillis + remainingMillis) * MAX_WAIT_RATIO);
        return Math.max(0, Math.min(maxMillis, maxByDeadlineMillis) - waitedMillis);
    }

    /**
     * Returns the time after which a rejected request should be retried.
     *
     * @param newProgram whether its program has not begun and is not urgent
     * @param waitMillis time until a token would be available, in milliseconds
     * @param jitter random number from 0 to 1 that spreads the retries
     * @return time in milliseconds
     */
    public static long retryAfterMillis(boolean newProgram, long waitMillis, double jitter) {
        long minMillis = Math.max(1, waitMillis);
        return newProgram
                ? Math.max(minMillis, NEW_PROGRAM_MIN_RETRY_MILLIS)
                        + (long) (NEW_PROGRAM_MIN_RETRY_MILLIS * jitter)
                : minMillis;
    }
}
