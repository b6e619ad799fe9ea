package org.heathercourse.core.retry;

import org.heathercourse.core.model.RetrySafety;

/** Decides whether a slow attempt is hedged by a second one. Stateless and thread-safe. */
public final class HedgeRule {
    /** A first token is late after this multiple of its expected time. */
    private static final double LATE_FACTOR = 3;

    private static final double MIN_HEDGE_DELAY_MILLIS = 2_000;

    private HedgeRule() {}

    /**
     * Returns whether a hedged attempt may be sent.
     *
     * @param safety whether the call may be repeated
     * @param hasFirstToken whether the first attempt has returned its first token
     * @param elapsedMillis time since the first attempt was sent, in milliseconds
     * @param expectedFirstTokenMillis expected time to the first token, in milliseconds
     * @param budget retry budget that must allow another attempt
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
