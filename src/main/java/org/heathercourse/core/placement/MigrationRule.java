package org.heathercourse.core.placement;

import org.heathercourse.core.config.PolicySpec;

/** Decides whether copying cache between engines pays. Pure functions without state. */
public final class MigrationRule {
    /**
     * Estimated gain above which a copy pays. Copies share the engines' network interfaces, and the
     * load that a daemon sees is old; without a margin half of all calls copied their cache.
     */
    static final double MARGIN_MILLIS = 2_000;

    /** Fixed time of an export with its import, for both orders and the session lookup. */
    private static final double FIXED_MILLIS = 40;

    /** Tokens copied per millisecond: 100 KB a token over a 25 Gbit/s link. */
    private static final double TOKENS_PER_MILLI = 30;

    private static final double GIGABYTES_PER_TOKEN = 1e-4;

    private MigrationRule() {}

    /**
     * Returns the time of a copy in milliseconds.
     *
     * @param tokens tokens to copy
     * @param link link between the engines
     */
    public static double copyMillis(double tokens, LinkCost link) {
        return FIXED_MILLIS + link.roundTripMillis() + tokens / TOKENS_PER_MILLI;
    }

    /**
     * Returns the price of a copy, in milliseconds of the policy's weights.
     *
     * @param tokens tokens to copy
     * @param link link between the engines
     * @param policy weights
     */
    public static double priceMillis(double tokens, LinkCost link, PolicySpec policy) {
        return policy.pricePenaltyMillisPerUnit()
                * link.pricePerGigabyte()
                * tokens
                * GIGABYTES_PER_TOKEN;
    }
}
