package org.heathercourse.core.admission;

/**
 * Limit of the calls in flight at a target. Immutable.
 *
 * <p>The limit grows slowly while it is used and waits are short, and shrinks by a tenth when a
 * wait was long (additive increase, multiplicative decrease).
 *
 * @param limit present limit
 * @param min least limit
 * @param max greatest limit
 * @param decreasedMillis time of the last decrease
 */
public record AdaptiveLimit(double limit, double min, double max, long decreasedMillis) {
    /**
     * A wait above this share of the call's deadline is long. Calls of low priority wait for some
     * seconds by design, so that a short fixed bound refused calls that would have run in time.
     */
    private static final double LONG_WAIT_RATIO = 0.5;

    /** Waits of one congestion arrive together; only one of them within this time counts. */
    private static final long MIN_DECREASE_INTERVAL_MILLIS = 2_000;

    private static final double DECREASE_FACTOR = 0.9;
    private static final double MIN_USED_RATIO = 0.7;

    /**
     * Creates the limit of a target.
     *
     * @param max declared concurrency of the target
     */
    public static AdaptiveLimit of(int max) {
        double maxLimit = Math.max(1, max);
        return new AdaptiveLimit(maxLimit, Math.max(1, maxLimit / 4), maxLimit, Long.MIN_VALUE / 2);
    }

    /**
     * Returns the limit after an observation.
     *
     * @param waitMillis time that a call waited before the target began with it
     * @param deadlineMillis time that the call had until its deadline
     * @param inFlight calls in flight at the target
     * @param nowMillis present time
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
