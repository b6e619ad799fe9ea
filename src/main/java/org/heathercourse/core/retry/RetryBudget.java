package org.heathercourse.core.retry;

/**
 * Bounds retries and hedged calls to a share of the calls. Immutable.
 *
 * <p>Each call adds the share, each retry takes one. A failure of many targets at once therefore
 * cannot multiply the load.
 *
 * @param ratio retries as a share of calls
 * @param balance retries that may be made now
 */
public record RetryBudget(double ratio, double balance) {
    /** Retries saved up at most, and given at the start so that a quiet daemon may retry. */
    private static final double MAX_BALANCE = 10;

    /** Returns a full budget. */
    public static RetryBudget full(double ratio) {
        return new RetryBudget(ratio, ratio > 0 ? MAX_BALANCE : 0);
    }

    /** Returns the budget after a call that is no retry. */
    public RetryBudget afterCall() {
        return new RetryBudget(ratio, Math.min(MAX_BALANCE, balance + ratio));
    }

    /** Returns whether a retry may be made. */
    public boolean allowsRetry() {
        return balance >= 1;
    }

    /** Returns the budget after a retry. */
    public RetryBudget afterRetry() {
        return new RetryBudget(ratio, balance - 1);
    }
}
