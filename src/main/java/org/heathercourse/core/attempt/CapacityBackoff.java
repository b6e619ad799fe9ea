package org.heathercourse.core.attempt;

/**
 * Backoff of a request while no target has a free slot. Stateless and thread-safe.
 *
 * <p>While targets are replaced or removed, the remaining ones have enough slots on average, but
 * not for every burst of calls. A call that is refused twice fails its program, whereas a slot
 * becomes free within a few run times.
 */
public final class CapacityBackoff {
    private static final long INITIAL_DELAY_MILLIS = 15;
    private static final int MAX_DOUBLINGS = 2;

    private CapacityBackoff() {}

    /**
     * Returns the delay before targets are tried again.
     *
     * @param previousDelays number of earlier delays of the request
     * @param remainingMillis time in milliseconds that the request may still wait
     * @return delay in milliseconds, or 0 if the request must be refused
     */
    public static long delayMillis(int previousDelays, long remainingMillis) {
        long delayMillis = INITIAL_DELAY_MILLIS << Math.min(MAX_DOUBLINGS, previousDelays);
        return remainingMillis < INITIAL_DELAY_MILLIS ? 0 : Math.min(delayMillis, remainingMillis);
    }
}
