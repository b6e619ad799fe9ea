package org.heathercourse.core.limits;

/**
 * What a gateway asks an owner of a workspace's rate for. Immutable.
 *
 * @param newProgram whether the program of the request has not begun and is not urgent
 * @param maxWaitMillis longest time in milliseconds that the request may wait
 */
public record RateRequest(boolean newProgram, long maxWaitMillis) {
    /** Returns this question with another wait. */
    public RateRequest withMaxWaitMillis(long otherMillis) {
        return new RateRequest(newProgram, otherMillis);
    }
}
