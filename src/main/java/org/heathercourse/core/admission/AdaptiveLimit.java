package org.heathercourse.core.admission;

/**
 * Adaptive limit of calls in flight at a target. Immutable.
 *
 * <p>Follows additive increase and multiplicative decrease: the limit grows slowly while it is
 * mostly used and waits are short, and decreases by a tenth after a long wait.
 *
 * @param limit current limit in calls
 * @param min lower bound of the limit
 * @param max upper bound of the limit
 * @param decreasedMillis timestamp of the last decrease in milliseconds
 */
public record AdaptiveLimit(double limit, double min, double max, long decreasedMillis) {
    /**
     * Waits above this ratio of the call's deadline are long. Calls of low priority wait for some
     * seconds by design, so a short fixed bound refused calls that would have met their deadline.
     */
    private static final double LONG_WAIT_RATIO = 0.5;

    /** One congestion causes many long waits; only one of them per interval has an effect. */
    private static final long MIN_DECREASE_INTERVAL_MILLIS = 2_000;

    private static final double DECREASE_FACTOR = 0.9;
    private static final double MIN_USED_RATIO = 0.7;

    /**
     * Creates the initial limit of a target, which equals its upper bound.
     *
     * @param max declared concurrency of the target in calls
     */
    public static AdaptiveLimit of(int max) {
        double maxLimit = Math.max(1, max);
        return new AdaptiveLimit(maxLimit, Math.max(1, maxLimit / 4), maxLimit, Long.MIN_VALUE / 2);
    }

    /**
     * Returns the limit after the start of a call.
     *
     * @param waitMillis time in milliseconds that the call waited at the target before it started
     * @param deadlineMillis time in milliseconds from sending the call to its deadline
     * @param inFlight calls in flight at the target
     * @param nowMillis current time in milliseconds
     */
    public AdaptiveLimit observe(
            double waitMillis, double deadlineMillis, double inFlight, long nowMillis) {
        if (waitMillis > deadlineMillis * LONG_WAIT_RATIO) {
            if (nowMillis - decreasedMillis < MIN_DECREASE_INTERVAL_MILLIS) {
                return this;
            }
            double decreasedLimit = Math.max(min, Math.min(limit, inFlight + 1) * DECREASE_FACTOR);
            return new AdaptiveLimit(Math.min(limit, decreasedLimit), min, max, nowMillis);
        }
        if (inFlight < limit * MIN_USED_RATIO || limit >= max) {
            return this;
        }
        return new AdaptiveLimit(Math.min(max, limit + 1 / limit), min, max, decreasedMillis);
    }
}
