package org.heathercourse.core.admission;

/**
 * Circuit breaker that blocks calls to a failing target. Immutable.
 *
 * <p>The breaker opens after three consecutive failures. While it is open, no calls are allowed;
 * the open time doubles with each further failure, up to 16 seconds. When it has passed, calls are
 * allowed again, and the first success closes the breaker.
 *
 * @param failures number of consecutive failures
 * @param openUntilMillis timestamp in milliseconds from which calls are allowed
 */
public record CircuitBreaker(int failures, long openUntilMillis) {
    /** Closed breaker without failures. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, Long.MIN_VALUE);

    private static final int FAILURE_THRESHOLD = 3;
    private static final long INITIAL_OPEN_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 4;

    /** Returns the breaker after a failure at the given time in milliseconds. */
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

    /** Returns whether calls may be sent at the given time in milliseconds. */
    public boolean allows(long nowMillis) {
        return nowMillis >= openUntilMillis;
    }
}
