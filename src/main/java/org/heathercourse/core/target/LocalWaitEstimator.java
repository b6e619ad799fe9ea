package org.heathercourse.core.target;

import org.heathercourse.core.target.TargetSelector.SelectionContext;

/**
 * Estimates waits from the requests of this gateway only. Each other gateway of the zone is assumed
 * to have as many requests at the target as this one. Stateless and thread-safe.
 */
public final class LocalWaitEstimator implements WaitEstimator {
    /** Assumed run time of a request until one has been measured. */
    private static final double INITIAL_RUN_MILLIS = 50;

    /** Slowdown by each request in the batch of a target, relative to the run time of a request. */
    static final double SLOWDOWN_PER_REQUEST_RATIO = 0.01;

    /** Creates an estimator. */
    public LocalWaitEstimator() {}

    @Override
    public double waitMillis(
            Target target, TargetLoad load, boolean preferred, SelectionContext context) {
        double runMillis = load.meanRunMillis() == 0 ? INITIAL_RUN_MILLIS : load.meanRunMillis();
        int slots = Math.max(1, target.slots());
        double estimatedInFlight = (double) load.inFlight() * Math.max(1, context.gatewaysInZone());
        double excessRequests = Math.max(0, estimatedInFlight + 1 - slots);
        return runMillis
                * (excessRequests / slots + SLOWDOWN_PER_REQUEST_RATIO * estimatedInFlight);
    }
}
