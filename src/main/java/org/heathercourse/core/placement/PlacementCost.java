package org.heathercourse.core.placement;

import org.heathercourse.core.config.PolicySpec;

/** Estimates the cost of a call at a target. Pure functions without state. */
public final class PlacementCost {
    /** A full batch generates tokens about a third slower than an empty one. */
    private static final double BATCH_SLOWDOWN = 0.35;

    /** Urgent calls overtake waiting ones, so that they see only the work in progress. */
    private static final double URGENT_WAIT_SHARE = 0.1;

    /** Bytes of a token in requests and answers, for the price of the link. */
    private static final double BYTES_PER_TOKEN = 5;

    private static final double GIGABYTE = 1e9;

    /**
     * Weight of the delay that a computed prompt puts on each call running at the target. Engines
     * share each step between prompts and answers, so that a computed prompt delays all of them.
     */
    private static final double OTHERS_WEIGHT = 1;

    private PlacementCost() {}

    /**
     * Estimates the cost of a call.
     *
     * @param target what is known about the target
     * @param call size of the call
     * @param cachedTokens prompt tokens that the target is believed to hold
     * @param policy weights
     */
    public static Estimate estimate(
            TargetSnapshot target, CallShape call, double cachedTokens, PolicySpec policy) {
        double uncached = Math.max(0, call.promptTokens() - cachedTokens);
        double promptMillis = uncached * target.promptTokenMillis();
        double fill = Math.min(1, target.inFlight() / target.slots());
        // Calls of plain services have no tokens; their usual time stands in for the answer's.
        double aloneMillis =
                call.expectedTokens() > 0
                        ? call.expectedTokens() * target.outputTokenMillis()
                        : target.meanCallMillis();
        double outputMillis = aloneMillis * (1 + BATCH_SLOWDOWN * fill);
        double others = Math.min(target.inFlight(), target.slots());
        return new Estimate(
                waitMillis(target, call),
                promptMillis,
                outputMillis,
                linkMillis(target.link(), call, policy),
                promptMillis * others * OTHERS_WEIGHT);
    }

    private static double waitMillis(TargetSnapshot target, CallShape call) {
        double overflow = Math.max(0, target.inFlight() + 1 - target.slots());
        double slotMillis = overflow / target.slots() * target.meanCallMillis();
        double promptMillis = target.backlogTokens() * target.promptTokenMillis();
        double wait = slotMillis + promptMillis;
        return call.urgent() ? wait * URGENT_WAIT_SHARE : wait;
    }

    private static double linkMillis(LinkCost link, CallShape call, PolicySpec policy) {
        double gigabytes =
                (call.promptTokens() + call.expectedTokens()) * BYTES_PER_TOKEN / GIGABYTE;
        return policy.zonePenaltyMillisPerDelayMilli() * link.roundTripMillis()
                + policy.pricePenaltyMillisPerUnit() * link.pricePerGigabyte() * gigabytes;
    }
}
