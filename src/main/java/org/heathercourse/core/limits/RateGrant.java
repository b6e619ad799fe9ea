package org.heathercourse.core.limits;

/**
 * An owner's reply to a {@link RateRequest}. Immutable.
 *
 * @param granted whether the request is admitted
 * @param waitMillis if admitted, the time in milliseconds after which the request may start;
 *     otherwise the time in milliseconds that it would have to wait, or {@link #NEVER_MILLIS}
 */
public record RateGrant(boolean granted, long waitMillis) {
    /** Wait reported by a gateway that owns no part of the rate. */
    public static final long NEVER_MILLIS = -1;

    /** Reply of a gateway that owns no part of the rate now. */
    public static final RateGrant NONE = new RateGrant(false, NEVER_MILLIS);

    /** Returns whether the replying gateway owns a part of the rate. */
    public boolean fromOwner() {
        return granted || waitMillis != NEVER_MILLIS;
    }
}
