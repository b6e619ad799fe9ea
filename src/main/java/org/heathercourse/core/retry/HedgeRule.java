package org.heathercourse.core.retry;

import org.heathercourse.core.model.RetrySafety;

/** Decides whether a slow attempt gets a second one beside it. Pure functions. */
public final class HedgeRule {
    /** A first token that is later than this multiple of the expected wait is late. */
    private static final double LATE_FACTOR = 3;

    private static final double MIN_LATE_MILLIS = 2_000;

    private HedgeRule() {}

    /**
     * Decides.
     *
     * @param safety whether the call may be repeated
     * @param firstTokenSeen whether the first attempt has begun to answer
     * @param waitedMillis time since the first attempt was sent
     * @param expectedMillis expected time to the first token
     * @param budget retry budget
     */
    public static boolean allows(
            RetrySafety safety,
            boolean firstTokenSeen,
            double waitedMillis,
            double expectedMillis,
            RetryBudget budget) {
        return safety.mayRepeat()
                && !firstTokenSeen
                && waitedMillis > Math.max(MIN_LATE_MILLIS, LATE_FACTOR * expectedMillis)
                && budget.allows();
    }
}
