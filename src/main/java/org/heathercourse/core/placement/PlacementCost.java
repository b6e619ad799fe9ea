package org.heathercourse.core.placement;

import org.heathercourse.core.config.PolicySpec;

/** Estimates the cost of running a call at a target. Stateless and thread-safe. */
public final class PlacementCost {
    /** Relative slowdown of token generation in a full batch, compared with an empty one. */
    private static final double BATCH_SLOWDOWN = 0.35;

    /** Urgent calls pass queued calls, so they wait only for the work in progress. */
    private static final double URGENT_WAIT_RATIO = 0.1;

    /** Size of a token in requests and answers, for the price of the link. */
    private static final double BYTES_PER_TOKEN = 5;

    private static final double BYTES_PER_GIGABYTE = 1e9;

    /**
     * Weight of the delay that computing a prompt causes to each call running at the target.
     * Engines process prompts and answers in shared steps, so a prompt delays all running calls.
     */
    private static final double INTERFERENCE_WEIGHT = 1;

    private PlacementCost() {}

    /**
     * Estimates the cost of a call.
     *
     * @param target estimated state of the target
     * @param call estimated size of the call
     * @param cachedTokens prompt tokens estimated to be cached at the target
     * @param policy cost weights
     */
    public static Estimate estimate(
            TargetSnapshot target, CallSize call, double cachedTokens, PolicySpec policy) {
        double uncachedTokens = Math.max(0, call.promptTokens() - cachedTokens);
        double promptMillis = uncachedTokens * target.promptTokenMillis();
        double fillRatio = Math.min(1, target.inFlight() / target.slots());
        // Calls of plain services have no tokens, so the mean call time is used instead.
        double unbatchedMillis =
                call.expectedTokens() > 0
                        ? call.expectedTokens() * target.outputTokenMillis()
                        : target.meanCallMillis();
        double outputMillis = unbatchedMillis * (1 + BATCH_SLOWDOWN * fillRatio);
        double runningCalls = Math.min(target.inFlight(), target.slots());
        return new Estimate(
                waitMillis(target, call),
                promptMillis,
                outputMillis,
                linkMillis(target.link(), call, policy),
                promptMillis * runningCalls * INTERFERENCE_WEIGHT);
    }

    private static double waitMillis(TargetSnapshot target, CallSize call) {
        double excessCalls = Math.max(0, target.inFlight() + 1 - target.slots());
        double slotMillis = excessCalls / target.slots() * target.meanCallMillis();
        double promptMillis = target.backlogTokens() * target.promptTokenMillis();
        double wait = slotMillis + promptMillis;
        return call.urgent() ? wait * URGENT_WAIT_RATIO : wait;
    }

    private static double linkMillis(LinkCost link, CallSize call, PolicySpec policy) {
        double gigabytes =
                (call.promptTokens() + call.expectedTokens())
                        * BYTES_PER_TOKEN
                        / BYTES_PER_GIGABYTE;
        return policy.zonePenaltyMillisPerDelayMilli() * link.roundTripMillis()
                + policy.pricePenaltyMillisPerUnit() * link.pricePerGigabyte() * gigabytes;
    }
}
