package org.heathercourse.core.admission;

import org.heathercourse.core.model.RequestClass;

/**
 * Decides whether a workspace may start another program. Stateless and thread-safe.
 *
 * <p>When more programs run than the prefix caches can hold, all of them recompute prefixes.
 * Reordering calls does not prevent this, as every started program uses cache memory. Workspaces
 * above their share therefore start no new programs until the caches recover, while their running
 * programs continue.
 */
public final class ProgramStartRule {
    /** Retry delay returned to callers; caches recover within about this time. */
    public static final long RETRY_AFTER_MILLIS = 20_000;

    /** Cache loss ratio above which the caches of a target count as overcommitted. */
    static final double CACHE_SHORTAGE_LOSS_RATIO = 0.08;

    /** Excess over the share that a single daemon observes by chance in usual traffic. */
    static final double TOLERATED_EXCESS_RATIO = 0.3;

    private ProgramStartRule() {}

    /**
     * Returns whether the call is refused.
     *
     * @param requestClass class of the call; urgent calls are never refused by this rule
     * @param attainedMillis service that the program has received, in milliseconds of an engine; 0
     *     for its first call
     * @param excessRatio service of the workspace above its share, divided by the share
     * @param cacheLossRatio ratio of the target's calls followed by an eviction of an active
     *     session
     */
    public static boolean refuses(
            RequestClass requestClass,
            double attainedMillis,
            double excessRatio,
            double cacheLossRatio) {
        return requestClass != RequestClass.URGENT
                && attainedMillis == 0
                && excessRatio > TOLERATED_EXCESS_RATIO
                && cacheLossRatio > CACHE_SHORTAGE_LOSS_RATIO;
    }
}
