package org.heathercourse.core.limits;

/**
 * A gateway's request for a token to an owner of a workspace's rate. Immutable.
 *
 * @param newProgram whether the request belongs to a program that has not begun and is not urgent
 * @param maxWaitMillis maximum time in milliseconds that the request may wait
 */
public record RateRequest(boolean newProgram, long maxWaitMillis) {
    /** Returns this request with another maximum wait. */
    public RateRequest withMaxWaitMillis(long newMaxWaitMillis) {
        return new RateRequest(newProgram, newMaxWaitMillis);
    }
}
