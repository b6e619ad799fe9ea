package org.heathercourse.core.drain;

/**
 * Times of a planned stop, and the rule by which a leaving process admits requests.
 *
 * <p>Load pattern: callers keep an address and open connections, so that requests reach a leaving
 * process at any time until it exits, and under steady load it is never without a request. Until
 * the end of the serving time all requests are admitted, because callers cannot know yet that the
 * process leaves. Afterwards a request is admitted only if its own time limit ends before the
 * process must have responded to all requests; any other one could be cut off by the exit.
 * Immutable and thread-safe.
 */
public final class DrainSchedule {
    /** Schedule of a process that does not leave; admits all requests. */
    public static final DrainSchedule NOT_LEAVING =
            new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    private final long mStartMillis;
    private final long mServeEndMillis;
    private final long mResponseEndMillis;

    private DrainSchedule(long startMillis, long serveEndMillis, long responseEndMillis) {
        mStartMillis = startMillis;
        mServeEndMillis = serveEndMillis;
        mResponseEndMillis = responseEndMillis;
    }

    /**
     * Creates the schedule of a stop.
     *
     * @param startMillis ticker time of the stop signal
     * @param serveMillis time after the signal for which all requests are admitted, in milliseconds
     * @param responseMillis time after the signal by which all responses must have ended, in
     *     milliseconds; at least {@code serveMillis}
     * @throws IllegalArgumentException if the response time is shorter than the serving time
     */
    public static DrainSchedule of(long startMillis, long serveMillis, long responseMillis) {
        if (responseMillis < serveMillis) {
            throw new IllegalArgumentException(
                    "the response time is "
                            + responseMillis
                            + " ms, expected at least the serving time of "
                            + serveMillis
                            + " ms");
        }
        return new DrainSchedule(
                startMillis, startMillis + serveMillis, startMillis + responseMillis);
    }

    /** Returns whether the process leaves. */
    public boolean isLeaving() {
        return mStartMillis != Long.MAX_VALUE;
    }

    /**
     * Returns whether a request may be admitted.
     *
     * @param nowMillis current timestamp of the ticker
     * @param maxDurationMillis time in milliseconds after which the request ends in any case
     */
    public boolean admits(long nowMillis, long maxDurationMillis) {
        return !isLeaving()
                || nowMillis < mServeEndMillis
                || maxDurationMillis <= mResponseEndMillis - nowMillis;
    }

    /** Returns the time since the stop signal in milliseconds, or -1 if the process stays. */
    public long millisSinceStart(long nowMillis) {
        return isLeaving() ? nowMillis - mStartMillis : -1;
    }

    /** Returns the time in milliseconds until the end of the serving time; 0 if it has passed. */
    public long millisToServeEnd(long nowMillis) {
        return Math.max(0, mServeEndMillis - nowMillis);
    }

    /** Returns the time in milliseconds until all responses must have ended; 0 if it has passed. */
    public long millisToResponseEnd(long nowMillis) {
        return Math.max(0, mResponseEndMillis - nowMillis);
    }
}
