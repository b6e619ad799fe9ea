package org.heathercourse.core.admission;

import org.heathercourse.core.model.RequestClass;

/** Decides whether a target can accept another call. Stateless and thread-safe. */
public final class AdmissionRule {
    /** Minimum retry delay returned to callers. */
    static final long MIN_RETRY_AFTER_MILLIS = 100;

    static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private AdmissionRule() {}

    /**
     * Returns 0 if the call is admitted, otherwise the delay in milliseconds after which a retry is
     * expected to be admitted.
     *
     * @param requestClass class of the call
     * @param inFlight calls in flight at the target
     * @param limit limit of calls in flight
     * @param meanCallMillis mean run time of a call at the target in milliseconds
     * @param expectedMillis estimated latency of the call in milliseconds
     * @param deadlineMillis time until the call's deadline in milliseconds
     */
    public static long retryAfterMillis(
            RequestClass requestClass,
            double inFlight,
            double limit,
            double meanCallMillis,
            double expectedMillis,
            long deadlineMillis) {
        double excessCalls = inFlight + 1 - limit * limitFactor(requestClass);
        double retryAfterMillis = 0;
        if (excessCalls > 0) {
            // A target with n calls in flight completes one every meanCallMillis / n.
            retryAfterMillis =
                    Math.max(
                            MIN_RETRY_AFTER_MILLIS,
                            excessCalls * meanCallMillis / Math.max(1, inFlight));
        }
        if (expectedMillis > deadlineMillis) {
            retryAfterMillis =
                    Math.max(
                            retryAfterMillis,
                            Math.max(MIN_RETRY_AFTER_MILLIS, expectedMillis - deadlineMillis));
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, (long) Math.ceil(retryAfterMillis));
    }

    /** Urgent calls may exceed the limit; batch calls leave part of it to the other classes. */
    private static double limitFactor(RequestClass requestClass) {
        return switch (requestClass) {
            case URGENT -> 1.25;
            case INTERACTIVE -> 1.0;
            case BATCH -> 0.8;
        };
    }
}
