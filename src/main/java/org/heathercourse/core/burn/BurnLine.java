package org.heathercourse.core.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.heathercourse.core.config.ObjectiveSpec;

/**
 * The state of one objective. Immutable.
 *
 * <p>A burn of 1 uses up the budget exactly at the end of its window.
 *
 * @param service name of the service
 * @param workspace name of the workspace, or "all"
 * @param latencyMillis latency within which a call counts as good
 * @param goodRatio declared share of good calls
 * @param windowDays length of the budget window in days
 * @param calls calls in the budget window
 * @param burn5m burn over 5 minutes
 * @param burn1h burn over 1 hour
 * @param burn6h burn over 6 hours
 * @param burn3d burn over 3 days
 * @param budgetLeftRatio share of the budget that is left; negative if it is overspent
 * @param budgetEndsInMillis time until the budget ends at the burn of the last hour; 0 if it has
 *     ended, -1 if it does not end within the window
 * @param state how urgent the burn is
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
    /** How urgent the burn of an objective is. */
    public enum State {
        /** Both short windows burn so fast that 2 % of a 30-day budget go in an hour. */
        FAST_BURN,
        /** The budget is spent, whatever the present burn. */
        SPENT,
        /** Both long windows burn faster than the budget allows. */
        SLOW_BURN,
        /** None of the above. */
        OK
    }

    private static final long MINUTE = 60_000L;
    private static final long HOUR = 60 * MINUTE;
    private static final long DAY = 24 * HOUR;

    /** The usual threshold of multi-window alerts: 2 % of a 30-day budget in an hour. */
    private static final double FAST = 14.4;

    static BurnLine of(ObjectiveSpec objective, BurnSeries series, long epochMillis) {
        // An objective of 1 has no budget; the least ratio keeps its burn finite.
        double allowed = Math.max(1e-9, 1 - objective.goodRatio());
        long window = Math.max(1, objective.windowDays()) * DAY;
        BurnSeries.Sum all = series.sum(window, epochMillis);
        double burn5m = rounded(series.sum(5 * MINUTE, epochMillis).badRatio() / allowed);
        double burn1h = rounded(series.sum(HOUR, epochMillis).badRatio() / allowed);
        double burn6h = rounded(series.sum(6 * HOUR, epochMillis).badRatio() / allowed);
        double burn3d = rounded(series.sum(3 * DAY, epochMillis).badRatio() / allowed);
        double left = rounded(1 - all.badRatio() / allowed);
        return new BurnLine(
                objective.service().value(),
                ObjectiveKey.of(objective).workspaceName(),
                objective.latencyMillis(),
                objective.goodRatio(),
                objective.windowDays(),
                all.total(),
                burn5m,
                burn1h,
                burn6h,
                burn3d,
                left,
                endsIn(left, burn1h, window),
                state(burn5m, burn1h, burn6h, burn3d, left));
    }

    /** Removes the error of ratios like 0.99, which binary fractions do not hold exactly. */
    private static double rounded(double value) {
        return Math.round(value * 1e9) / 1e9;
    }

    private static long endsIn(double left, double burn, long window) {
        if (left <= 0) {
            return 0;
        }
        double millis = burn <= 0 ? Double.POSITIVE_INFINITY : left * window / burn;
        return millis > window ? -1 : Math.round(millis);
    }

    private static State state(
            double burn5m, double burn1h, double burn6h, double burn3d, double left) {
        if (burn5m > FAST && burn1h > FAST) {
            return State.FAST_BURN;
        }
        if (left <= 0) {
            return State.SPENT;
        }
        return burn6h > 1 && burn3d > 1 ? State.SLOW_BURN : State.OK;
    }
}
