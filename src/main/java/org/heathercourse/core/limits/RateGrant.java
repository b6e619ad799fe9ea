package org.heathercourse.core.limits;

/**
 * Answer of an owner of a workspace's rate. Immutable.
 *
 * @param granted whether the request is admitted
 * @param waitMillis if admitted, the time in milliseconds after which the request may go on;
 *     otherwise the time that it would have to wait, or {@link #NEVER_MILLIS}
 */
public record RateGrant(boolean granted, long waitMillis) {
    /** Wait of a request at a gateway that owns no part of the rate. */
    public static final long NEVER_MILLIS = -1;

    /** Answer of a gateway that owns no part of the rate now. */
    public static final RateGrant NONE = new RateGrant(false, NEVER_MILLIS);

    /** Returns whether the gateway owns a part of the rate. */
    public boolean fromOwner() {
        return granted || waitMillis != NEVER_MILLIS;
    }
}
