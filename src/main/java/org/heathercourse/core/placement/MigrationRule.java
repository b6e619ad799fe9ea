package org.heathercourse.core.placement;

import org.heathercourse.core.config.PolicySpec;

/** Cost of copying a cached prefix between engines. Stateless and thread-safe. */
public final class MigrationRule {
    /**
     * Minimum estimated gain of a copy. Copies share the network interfaces of the engines and the
     * load reports lag; without this margin half of all calls copied their cache.
     */
    static final double MIN_GAIN_MILLIS = 2_000;

    /** Fixed time of a copy: the export and import requests and the session lookup. */
    private static final double FIXED_COPY_MILLIS = 40;

    /** Copy rate for 100 KB per token over a 25 Gbit/s link. */
    private static final double COPIED_TOKENS_PER_MILLI = 30;

    private static final double GIGABYTES_PER_TOKEN = 1e-4;

    private MigrationRule() {}

    /**
     * Returns the estimated time of a copy in milliseconds.
     *
     * @param tokens tokens to copy
     * @param link link between the engines
     */
    public static double copyMillis(double tokens, LinkCost link) {
        return FIXED_COPY_MILLIS + link.roundTripMillis() + tokens / COPIED_TOKENS_PER_MILLI;
    }

    /**
     * Returns the price of a copy, converted to milliseconds by the weight of the policy.
     *
     * @param tokens tokens to copy
     * @param link link between the engines
     * @param policy policy with the price weight
     */
    public static double priceMillis(double tokens, LinkCost link, PolicySpec policy) {
        return policy.pricePenaltyMillisPerUnit()
                * link.pricePerGigabyte()
                * tokens
                * GIGABYTES_PER_TOKEN;
    }
}
