package org.heathercourse.core.retry;

/**
 * Budget that limits retries and hedged calls to a ratio of the calls. Immutable.
 *
 * <p>Each call adds the ratio to the balance, and each retry subtracts one. A failure of many
 * targets at once therefore cannot multiply the load.
 *
 * @param ratio retries per call
 * @param balance number of retries that are currently allowed
 */
public record RetryBudget(double ratio, double balance) {
    /** Maximum and initial balance, which allows retries when there are few calls. */
    private static final double MAX_BALANCE = 10;

    /** Returns a budget with the maximum balance; with a ratio of 0 it allows no retries. */
    public static RetryBudget full(double ratio) {
        return new RetryBudget(ratio, ratio > 0 ? MAX_BALANCE : 0);
    }

    /** Returns the budget after a call that is not a retry. */
    public RetryBudget afterCall() {
        return new RetryBudget(ratio, Math.min(MAX_BALANCE, balance + ratio));
    }

    /** Returns whether the balance allows a retry. */
    public boolean allowsRetry() {
        return balance >= 1;
    }

    /** Returns the budget after a retry. */
    public RetryBudget afterRetry() {
        return new RetryBudget(ratio, balance - 1);
    }
}
