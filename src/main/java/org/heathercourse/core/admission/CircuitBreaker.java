package org.heathercourse.core.admission;

/**
 * Keeps calls away from a target that fails. Immutable.
 *
 * <p>Closed until three failures in a row; then open for a time that doubles with each failed
 * trial. After that time calls are let through again; a success closes the breaker.
 *
 * @param failures failures in a row
 * @param openUntilMillis time at which calls are let through again
 */
public record CircuitBreaker(int failures, long openUntilMillis) {
    /** A breaker of a target that has not failed. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, Long.MIN_VALUE);

    private static final int FAILURE_THRESHOLD = 3;
    private static final long INITIAL_OPEN_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 4;

    /** Returns the breaker after a failure. */
    public CircuitBreaker afterFailure(long nowMillis) {
        int count = failures + 1;
        if (count < FAILURE_THRESHOLD) {
            return new CircuitBreaker(count, openUntilMillis);
        }
        long openMillis = INITIAL_OPEN_MILLIS << Math.min(MAX_DOUBLINGS, count - FAILURE_THRESHOLD);
        return new CircuitBreaker(count, nowMillis + openMillis);
    }

    /** Returns the breaker after a success. */
    public CircuitBreaker afterSuccess() {
        return failures == 0 ? this : CLOSED;
    }

    /** Returns whether calls may be sent. */
    public boolean allows(long nowMillis) {
        return nowMillis >= openUntilMillis;
    }
}
