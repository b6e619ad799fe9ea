package org.heathercourse.core.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.heathercourse.core.config.ObjectiveSpec;

/**
 * The state of one objective, as one line of a report. Immutable.
 *
 * <p>Burn means the burn rate of the error budget: at a burn of 1 the budget is used up exactly at
 * the end of its window.
 *
 * @param service name of the service
 * @param workspace name of the workspace, or "all"
 * @param latencyMillis maximum latency of a good call in milliseconds
 * @param goodRatio declared ratio of good calls
 * @param windowDays length of the error budget window in days
 * @param calls number of calls in the budget window
 * @param burn5m burn over 5 minutes
 * @param burn1h burn over 1 hour
 * @param burn6h burn over 6 hours
 * @param burn3d burn over 3 days
 * @param budgetLeftRatio remaining ratio of the error budget; negative if it is overspent
 * @param budgetEndsInMillis time in milliseconds until the budget is used up at the burn of the
 *     last hour; 0 if it is already used up, -1 if it lasts for the whole window
 * @param state urgency of the burn
 */
public record BurnLine(
        String service,
        String workspace,
        @JsonProperty("latency_ms") long latencyMillis,
        @JsonProperty("good_ratio") double goodRatio,
        @JsonProperty("window_days") int windowDays,
        long calls,
        @JsonProperty("burn_5m") double burn5m,
        @JsonProperty("burn_1h") double burn1h,
        @JsonProperty("burn_6h") double burn6h,
        @JsonProperty("burn_3d") double burn3d,
        @JsonProperty("budget_left_ratio") double budgetLeftRatio,
        @JsonProperty("budget_ends_in_ms") long budgetEndsInMillis,
        State state) {
    /** Urgency of the burn of an objective, most urgent first. */
    public enum State {
        /**
         * In both short windows the budget burns so fast that more than 2 % of a 30-day budget is
         * used in an hour.
         */
        FAST_BURN,
        /** The budget is used up, regardless of the current burn. */
        SPENT,
        /** In both long windows the burn exceeds 1. */
        SLOW_BURN,
        /** None of the above. */
        OK
    }

    private static final long MINUTE_MILLIS = 60_000L;
    private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
    private static final long DAY_MILLIS = 24 * HOUR_MILLIS;

    /** The common threshold of multi-window alerts: 2 % of a 30-day budget in an hour. */
    private static final double FAST_BURN_THRESHOLD = 14.4;

    /**
     * Computes the state of an objective.
     *
     * @param objective the objective
     * @param series its counters
     * @param epochMillis end of all windows in milliseconds since the epoch
     */
    static BurnLine of(ObjectiveSpec objective, BurnSeries series, long epochMillis) {
        // An objective of 1 has no error budget; the lower bound keeps its burn finite.
        double allowedRatio = Math.max(1e-9, 1 - objective.goodRatio());
        long windowMillis = Math.max(1, objective.windowDays()) * DAY_MILLIS;
        BurnSeries.Sum windowCalls = series.sum(windowMillis, epochMillis);
        double burn5m =
                roundTo9Decimals(
                        series.sum(5 * MINUTE_MILLIS, epochMillis).badRatio() / allowedRatio);
        double burn1h =
                roundTo9Decimals(series.sum(HOUR_MILLIS, epochMillis).badRatio() / allowedRatio);
        double burn6h =
                roundTo9Decimals(
                        series.sum(6 * HOUR_MILLIS, epochMillis).badRatio() / allowedRatio);
        double burn3d =
                roundTo9Decimals(series.sum(3 * DAY_MILLIS, epochMillis).badRatio() / allowedRatio);
        double budgetLeftRatio = roundTo9Decimals(1 - windowCalls.badRatio() / allowedRatio);
        return new BurnLine(
                objective.service().value(),
                ObjectiveKey.of(objective).workspaceName(),
                objective.latencyMillis(),
                objective.goodRatio(),
                objective.windowDays(),
                windowCalls.total(),
                burn5m,
                burn1h,
                burn6h,
                burn3d,
                budgetLeftRatio,
                millisUntilBudgetEnds(budgetLeftRatio, burn1h, windowMillis),
                classify(burn5m, burn1h, burn6h, burn3d, budgetLeftRatio));
    }

    /** Rounds away the errors of ratios such as 0.99, which have no exact binary representation. */
    private static double roundTo9Decimals(double value) {
        return Math.round(value * 1e9) / 1e9;
    }

    /** Returns the time for {@link #budgetEndsInMillis}, extrapolated from a constant burn. */
    private static long millisUntilBudgetEnds(
            double budgetLeftRatio, double burn, long windowMillis) {
        if (budgetLeftRatio <= 0) {
            return 0;
        }
        double millis =
                burn <= 0 ? Double.POSITIVE_INFINITY : budgetLeftRatio * windowMillis / burn;
        return millis > windowMillis ? -1 : Math.round(millis);
    }

    private static State classify(
            double burn5m, double burn1h, double burn6h, double burn3d, double budgetLeftRatio) {
        if (burn5m > FAST_BURN_THRESHOLD && burn1h > FAST_BURN_THRESHOLD) {
            return State.FAST_BURN;
        }
        if (budgetLeftRatio <= 0) {
            return State.SPENT;
        }
        return burn6h > 1 && burn3d > 1 ? State.SLOW_BURN : State.OK;
    }
}
