package org.heathercourse.core.limits;

/**
 * Decides how long a request may wait for a token of its workspace's rate.
 *
 * <p>The load pattern that it answers: programs send a dozen requests at once while their workspace
 * stays below its rate over some seconds. A call that is refused twice fails its whole program, so
 * a begun program waits for tokens that are about to come. A program that has not begun is sent
 * away sooner and then comes back, which keeps the queue short for those that have.
 */
public final class RateWaitPolicy {
    /** Part of the time left that a request may wait; the rest is needed to run it. */
    private static final double MOST_PART = 0.45;

    /**
     * Longest wait in milliseconds. Within what calls with a deadline of 1.2 s may wait, so that
     * requests with more time do not fill the queue before them.
     */
    public static final long MAX_WAIT_MILLIS = 500;

    /** Longest wait of a program that has not begun, in milliseconds. */
    static final long NEWCOMER_MILLIS = 300;

    /** Least time in milliseconds after which a program that has not begun may come again. */
    private static final long NEWCOMER_RETRY_MILLIS = 500;

    private RateWaitPolicy() {}

    /**
     * Returns how much longer a request may wait.
     *
     * @param heldMillis time for which it has waited, in milliseconds
     * @param remainingMillis time left until its deadline, in milliseconds
     * @param newcomer whether its program has not begun and is not urgent
     * @return time in milliseconds, 0 or more
     */
    public static long remainingWaitMillis(
            long heldMillis, long remainingMillis, boolean newcomer) {
        long mostMillis = newcomer ? NEWCOMER_MILLIS : MAX_WAIT_MILLIS;
        long partMillis = (long) ((heldMillis + remainingMillis) * MOST_PART);
        return Math.max(0, Math.min(mostMillis, partMillis) - heldMillis);
    }

    /**
     * Returns the time after which a refused request should come again.
     *
     * @param newcomer whether its program has not begun and is not urgent
     * @param waitMillis time until a token would be there, in milliseconds
     * @param point random number from 0 to 1 that spreads the returns
     * @return time in milliseconds
     */
    public static long retryAfterMillis(boolean newcomer, long waitMillis, double point) {
        long leastMillis = Math.max(1, waitMillis);
        return newcomer
                ? Math.max(leastMillis, NEWCOMER_RETRY_MILLIS)
                        + (long) (NEWCOMER_RETRY_MILLIS * point)
                : leastMillis;
    }
}
