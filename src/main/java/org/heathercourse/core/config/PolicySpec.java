package org.heathercourse.core.config;

/**
 * Weights of the scheduling decisions. The users of the system differ by these numbers only.
 *
 * @param fairnessWeight 0 optimises program latency alone, 1 the worst-served workspace alone
 * @param zonePenaltyMillisPerDelayMilli cost of a millisecond of link delay in placement
 * @param pricePenaltyMillisPerUnit cost of a unit of link price in placement, in milliseconds
 * @param retryBudgetRatio retries as a share of calls
 */
public record PolicySpec(
        double fairnessWeight,
        double zonePenaltyMillisPerDelayMilli,
        double pricePenaltyMillisPerUnit,
        double retryBudgetRatio) {
    /** Weights that suit neither extreme. */
    public static final PolicySpec DEFAULT = new PolicySpec(0.5, 2.0, 10.0, 0.1);
}
