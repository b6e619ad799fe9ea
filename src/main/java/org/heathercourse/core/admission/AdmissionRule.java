package org.heathercourse.core.admission;

import org.heathercourse.core.model.RequestClass;

/** Decides whether a target may take another call. Pure functions without state. */
public final class AdmissionRule {
    /** Shortest and longest time after which a caller is asked to try again. */
    static final long MIN_RETRY_AFTER_MILLIS = 100;

    static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private AdmissionRule() {}

    /**
     * Returns 0 if the call is admitted, else the time in milliseconds after which room is
     * expected.
     *
     * @param requestClass how urgent the call is
     * @param inFlight calls in flight at the target
     * @param limit limit of calls in flight
     * @param meanCallMillis mean time of a call at the target
     * @param expectedMillis expected latency of the call
     * @param deadlineMillis time left until the call's deadline
     */
    public static long retryAfterMillis(
            RequestClass requestClass,
            double inFlight,
            double limit,
            double meanCallMillis,
            double expectedMillis,
            long deadlineMillis) {
        double excess = inFlight + 1 - limit * limitFactor(requestClass);
        double wait = 0;
        if (excess > 0) {
            // A target with n calls in flight ends one every meanCallMillis / n.
            wait =
                    Math.max(
                            MIN_RETRY_AFTER_MILLIS,
                            excess * meanCallMillis / Math.max(1, inFlight));
        }
        if (expectedMillis > deadlineMillis) {
            wait =
                    Math.max(
                            wait,
                            Math.max(MIN_RETRY_AFTER_MILLIS, expectedMillis - deadlineMillis));
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, (long) Math.ceil(wait));
    }

    /** Urgent calls may exceed the limit; batch calls leave a part of it to the others. */
    private static double limitFactor(RequestClass requestClass) {
        return switch (requestClass) {
            case URGENT -> 1.25;
            case INTERACTIVE -> 1.0;
            case BATCH -> 0.8;
        };
    }
}
