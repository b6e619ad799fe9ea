package org.heathercourse.core.admission;

import org.heathercourse.core.model.RequestClass;

/**
 * Decides whether a workspace may start another program. Pure functions without state.
 *
 * <p>When more programs run than the caches hold, all of them compute prefixes again. Order alone
 * does not help against this, as every started program takes memory. Workspaces above their share
 * therefore start no programs until the caches recover; their begun programs go on.
 */
public final class ProgramStartRule {
    /** Time after which the caller is asked to try again; caches recover within about that time. */
    public static final long RETRY_AFTER_MILLIS = 20_000;

    /** Least share of calls with lost sessions at which caches count as short. */
    static final double CACHE_SHORTAGE_LOSS_RATIO = 0.08;

    /** Service above the share, as a ratio, that one daemon sees by chance in usual traffic. */
    static final double TOLERATED_EXCESS_RATIO = 0.3;

    private ProgramStartRule() {}

    /**
     * Returns whether the call is refused.
     *
     * @param requestClass how urgent the call is; urgent calls are never refused here
     * @param attainedMillis service that the program has received; 0 for its first call
     * @param excessRatio service of the workspace above its share over its share
     * @param cacheLossRatio share of the target's calls after which a live session lost its cache
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
