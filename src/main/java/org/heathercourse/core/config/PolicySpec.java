package org.heathercourse.core.config;

/**
 * Weights of the scheduling decisions, with which a deployment is adapted to its users. Immutable.
 *
 * @param fairnessWeight weight of the worst-served workspace against program latency, from 0 (only
 *     program latency) to 1 (only the worst-served workspace)
 * @param zonePenaltyMillisPerDelayMilli placement penalty in milliseconds for each millisecond of
 *     link delay
 * @param pricePenaltyMillisPerUnit placement penalty in milliseconds for each unit of link price
 * @param retryBudgetRatio maximum ratio of retries to calls
 */
public record PolicySpec(
        double fairnessWeight,
        double zonePenaltyMillisPerDelayMilli,
        double pricePenaltyMillisPerUnit,
        double retryBudgetRatio) {
    /** Default weights: a balance between program latency and fairness. */
    public static final PolicySpec DEFAULT = new PolicySpec(0.5, 2.0, 10.0, 0.1);
}
