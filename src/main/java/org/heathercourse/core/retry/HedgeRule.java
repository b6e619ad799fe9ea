package org.heathercourse.core.retry;

import org.heathercourse.core.model.RetrySafety;

/** Decides whether a slow attempt gets a second one beside it. Pure functions. */
public final class HedgeRule {
    /** A first token that is later than this multiple of the expected wait is late. */
    private static final double LATE_FACTOR = 3;

    private static final double MIN_HEDGE_DELAY_MILLIS = 2_000;

    private HedgeRule() {}

    /**
     * Decides.
     *
     * @param safety whether the call may be repeated
     * @param hasFirstToken whether the first attempt has begun to answer
     * @param elapsedMillis time since the first attempt was sent
     * @param expectedFirstTokenMillis expected time to the first token
     * @param budget retry budget
     */
    public static boolean allows(
            RetrySafety safety,
            boolean hasFirstToken,
            double elapsedMillis,
            double expectedFirstTokenMillis,
            RetryBudget budget) {
        return safety.mayRepeat()
                && !hasFirstToken
                && elapsedMillis
                        > Math.max(MIN_HEDGE_DELAY_MILLIS, LATE_FACTOR * expectedFirstTokenMillis)
                && budget.allowsRetry();
    }
}
