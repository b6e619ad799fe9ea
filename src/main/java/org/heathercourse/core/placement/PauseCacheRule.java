package org.heathercourse.core.placement;

/** Selects the action on a session's cache during a tool pause. Stateless and thread-safe. */
public final class PauseCacheRule {
    /** Engines evict nothing below this fill ratio, so keeping a cache there is free. */
    private static final double EVICTION_FILL_RATIO = 0.9;

    private PauseCacheRule() {}

    /**
     * Selects the action on a session's cache.
     *
     * @param tokens cached tokens of the session
     * @param pauseMillis expected length of the pause in milliseconds
     * @param holderFillRatio fill ratio of the holder's cache, from 0 to 1
     * @param residenceMillis average time in milliseconds until the holder evicts unused sessions
     * @param minFillRatio smallest cache fill ratio among the sampled targets, from 0 to 1
     * @param computeMillis time to recompute the tokens in milliseconds
     * @param copyMillis time to copy the tokens in milliseconds
     */
    public static PauseCacheAction decide(
            double tokens,
            double pauseMillis,
            double holderFillRatio,
            double residenceMillis,
            double minFillRatio,
            double computeMillis,
            double copyMillis) {
        if (tokens <= 0 || holderFillRatio < EVICTION_FILL_RATIO || pauseMillis < residenceMillis) {
            return PauseCacheAction.KEEP;
        }
        if (minFillRatio < EVICTION_FILL_RATIO && copyMillis < computeMillis) {
            return PauseCacheAction.EXPORT;
        }
        return PauseCacheAction.RELEASE;
    }
}
