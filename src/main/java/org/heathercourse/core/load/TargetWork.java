package org.heathercourse.core.load;

/**
 * Work of one or several gateways at one incarnation of a target. Immutable.
 *
 * <p>All values are whole numbers, so that sums can be updated by additions and subtractions
 * without rounding errors.
 *
 * @param requests requests in flight
 * @param promptTokens prompt tokens of the requests that have no answer yet
 * @param outputTokens maximum output tokens of the requests in flight
 * @param expectedMillis run times of recent requests as expected of a target of nominal speed; the
 *     weight of a request decays
 * @param runMillis measured run times of the same requests
 */
public record TargetWork(
        long requests, long promptTokens, long outputTokens, long expectedMillis, long runMillis) {
    /** No work. */
    public static final TargetWork NONE = new TargetWork(0, 0, 0, 0, 0);

    /** Returns the sum of this and other work. */
    public TargetWork plus(TargetWork other) {
        return new TargetWork(
                requests + other.requests,
                promptTokens + other.promptTokens,
                outputTokens + other.outputTokens,
                expectedMillis + other.expectedMillis,
                runMillis + other.runMillis);
    }

    /** Returns this work without a part of it. */
    public TargetWork minus(TargetWork part) {
        return new TargetWork(
                requests - part.requests,
                promptTokens - part.promptTokens,
                outputTokens - part.outputTokens,
                expectedMillis - part.expectedMillis,
                runMillis - part.runMillis);
    }

    /** Returns whether all values are 0. */
    public boolean isNone() {
        return equals(NONE);
    }

    /** Returns whether no value is negative, as in every report of a sound gateway. */
    public boolean isValid() {
        return Math.min(Math.min(requests, promptTokens), outputTokens) >= 0
                && Math.min(expectedMillis, runMillis) >= 0;
    }
}
