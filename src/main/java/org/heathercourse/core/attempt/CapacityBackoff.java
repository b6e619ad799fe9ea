package org.heathercourse.core.attempt;

/**
 * Decides how long a request waits if no target has room for it.
 *
 * <p>The load pattern that it answers: targets are replaced or taken away, and those that are left
 * have enough places on the mean but not for each group of calls. A call that is refused twice
 * fails its program, and a place is free again within a few run times. Immutable.
 */
public final class CapacityBackoff {
    private static final long INITIAL_DELAY_MILLIS = 15;
    private static final int MAX_DOUBLINGS = 2;

    private CapacityBackoff() {}

    /**
     * Returns the pause before targets are tried again.
     *
     * @param previousDelays pauses that the request has made before
     * @param remainingMillis time in milliseconds that it may still wait
     * @return time in milliseconds, or 0 if the request is to be refused
     */
    public static long delayMillis(int previousDelays, long remainingMillis) {
        long delayMillis = INITIAL_DELAY_MILLIS << Math.min(MAX_DOUBLINGS, previousDelays);
        return remainingMillis < INITIAL_DELAY_MILLIS ? 0 : Math.min(delayMillis, remainingMillis);
    }
}
