package org.heathercourse.core.limits;

import java.util.Collection;

/**
 * Calculates how a workspace's rate, burst and tokens should be divided among its holders.
 *
 * <p>Rates follow demand: they are max-min fair when demand exceeds the rate and proportional to
 * demand otherwise. The {@link ShareLedger} enforces the limits; this class only returns the
 * desired allocation. Stateless and safe for use by several threads.
 */
final class SharePolicy {
    /** Tolerance for rounding errors in sums of doubles. */
    private static final double ROUNDING = 1e-9;

    /**
     * Lower limit of a holder's demand, so that a holder with little traffic still gets a share.
     */
    private static final double MIN_DEMAND_PER_SECOND = 0.05;

    /**
     * Ratio of demand to rate up to which shares are proportional. Measured demand varies, and
     * max-min fairness would take all of a short excess from the holder with the most traffic.
     */
    private static final double PROPORTIONAL_DEMAND_RATIO = 1.25;

    /** Ratio of the tokens that holders keep. The rest is reserved for holders that run low. */
    private static final double HELD_TOKEN_RATIO = 0.7;

    /** Ratio of the burst that is divided among holders in proportion to demand. */
    private static final double BURST_RATIO_BY_DEMAND = 0.5;

    /** Ratio of the burst that is divided equally, for holders with small demands. */
    private static final double BURST_RATIO_EQUAL = 0.2;

    /**
     * Capacity for unused fill that does not depend on the fill rate; covers the variation of small
     * demands. Too small a capacity loses tokens when arrivals pause; too large a one leaves no
     * capacity for the central bucket.
     */
    private static final double BASE_CAPACITY_TOKENS = 4;

    /** Capacity for unused fill, in seconds of fill, in addition to the base capacity. */
    private static final double ACCUMULATED_SECONDS = 0.4;

    /**
     * Minimum fill rate of a share. A holder below it gets no fill, only tokens for waiting
     * requests, because no holder could use fractions of tokens spread over many holders.
     */
    private static final double MIN_FILL_PER_SECOND = 1;

    /**
     * Minimum capacity of a share with a slow fill rate; a holder below it gets no fill. Such a
     * holder can request most of its tokens.
     */
    private static final double MIN_CAPACITY_IF_SLOW_TOKENS = 4;

    /** Minimum capacity of a share with a fast fill rate; a holder below it gets no fill. */
    private static final double MIN_CAPACITY_TOKENS = 1.5;

    /** Fill rate from which the interval between requests makes requesting tokens too slow. */
    private static final double SLOW_FILL_PER_SECOND = 5;

    /**
     * Central tokens per holder for which a holder without fill gets one token in advance, so that
     * its next request does not wait for the grantor.
     */
    private static final double SPARE_TOKENS_PER_HOLDER = 1;

    /** Maximum ratio of fill to demand when the rate is not used up. */
    private static final double SPARE_FILL_RATIO = 1.5;

    /**
     * Ratio of the rate that a holder may get beyond that, so that it can grow from zero demand.
     */
    private static final double SPARE_RATE_RATIO = 0.02;

    /** Maximum tokens that a holder gets beyond the top-up, in seconds of its demand. */
    private static final double TARGET_TOKENS_SECONDS = 2;

    /** Minimum tokens for a holder that runs low, in seconds of its demand. */
    private static final double TOP_UP_SECONDS = 0.3;

    /** Ratio of the central tokens that a holder that runs low gets in addition. */
    private static final double TOP_UP_RATIO = 0.05;

    /**
     * Desired share of a holder.
     *
     * @param rate fill rate, in tokens per second
     * @param capacity capacity, in tokens
     * @param tokens tokens; may exceed the capacity, which the ledger then raises to hold them
     * @param slack excess tokens below which none are taken back
     */
    record Allocation(double rate, double capacity, double tokens, double slack) {
        /**
         * Returns the tokens to transfer to a holder; if negative, the tokens to take back.
         *
         * @param heldTokens tokens of the holder
         * @param availableTokens tokens that can be transferred to it
         */
        double tokensToTransfer(double heldTokens, double availableTokens) {
            if (rate > 0) {
                double missingTokens = tokens - heldTokens;
                return missingTokens > 0
                        ? Math.min(missingTokens, availableTokens)
                        : -missingTokens >= slack ? missingTokens : 0;
            }
            // Without fill, a fraction of a token never becomes a whole token.
            double wholeTokens =
                    Math.min(
                            Math.ceil(tokens), Math.floor(heldTokens + availableTokens + ROUNDING));
            return Math.min(availableTokens, wholeTokens - heldTokens);
        }
    }

    /**
     * Returns the desired share of a holder.
     *
     * @param entry the holder
     * @param entries all holders of the workspace, including this one
     * @param rate rate of the workspace, in tokens per second
     * @param burst burst of the workspace, in tokens
     * @param centralTokens tokens in the central bucket
     */
    Allocation allocation(
            ShareEntry entry,
            Collection<ShareEntry> entries,
            double rate,
            double burst,
            double centralTokens) {
        double totalDemand = 0;
        double tokens = centralTokens;
        for (ShareEntry other : entries) {
            totalDemand += demandOf(other);
            tokens += other.tokens;
        }
        boolean demandExceedsRate = totalDemand > rate * PROPORTIONAL_DEMAND_RATIO;
        double demandCap =
                demandExceedsRate ? waterFillingLevel(entries, rate) : Double.POSITIVE_INFINITY;
        double cappedDemand = Math.min(demandOf(entry), demandCap);
        double demandRatio = cappedDemand / (demandExceedsRate ? rate : totalDemand);
        double fill =
                Math.min(
                        demandRatio * rate,
                        cappedDemand * SPARE_FILL_RATIO + rate * SPARE_RATE_RATIO);
        double maxCapacity =
                burst * (BURST_RATIO_BY_DEMAND * demandRatio + BURST_RATIO_EQUAL / entries.size());
        double minCapacity =
                fill < SLOW_FILL_PER_SECOND ? MIN_CAPACITY_IF_SLOW_TOKENS : MIN_CAPACITY_TOKENS;
        if (maxCapacity < minCapacity || fill < MIN_FILL_PER_SECOND) {
            double spareTokens =
                    Math.floor(centralTokens / (SPARE_TOKENS_PER_HOLDER * entries.size()));
            double tokensAhead = Math.min(spareTokens, Math.ceil(cappedDemand * TOP_UP_SECONDS));
            return new Allocation(0, 0, Math.min(burst, entry.waiting + tokensAhead), 1);
        }
        // The smaller the capacity, the more of the fill would overflow.
        fill *= 1 - 1 / (1 + maxCapacity);
        double topUpTokens =
                Math.min(
                                maxCapacity,
                                1 + cappedDemand * TOP_UP_SECONDS + centralTokens * TOP_UP_RATIO)
                        + entry.waiting;
        double targetTokens =
                Math.min(
                        demandRatio * tokens * HELD_TOKEN_RATIO,
                        topUpTokens + cappedDemand * TARGET_TOKENS_SECONDS);
        // No top-up if the demand is capped: it would take tokens that other holders need.
        if (entry.tokens < topUpTokens && cappedDemand < demandCap) {
            targetTokens = Math.max(targetTokens, topUpTokens);
        }
        double accumulatedTokens = BASE_CAPACITY_TOKENS + fill * ACCUMULATED_SECONDS;
        double capacity = Math.min(maxCapacity, targetTokens + accumulatedTokens);
        return new Allocation(
                fill, capacity, Math.min(burst, targetTokens), 1 + targetTokens * 0.1);
    }

    private static double demandOf(ShareEntry entry) {
        return Math.max(MIN_DEMAND_PER_SECOND, entry.demandPerSecond);
    }

    /** Returns the cap at which the capped demands add up to the rate (max-min fairness). */
    private static double waterFillingLevel(Collection<ShareEntry> entries, double rate) {
        double[] demands = entries.stream().mapToDouble(SharePolicy::demandOf).sorted().toArray();
        double remainingRate = rate;
        for (int i = 0; i < demands.length; i++) {
            double equalRate = remainingRate / (demands.length - i);
            if (demands[i] >= equalRate) {
                return equalRate;
            }
            remainingRate -= demands[i];
        }
        return demands.length == 0 ? rate : demands[demands.length - 1];
    }
}
