package org.heathercourse.core.placement;

/** Decides what happens to a session's cache during a tool pause. Pure functions. */
public final class PauseRule {
    /** Below this share of use an engine evicts nothing, so that keeping costs nothing. */
    private static final double PRESSURE_FILL = 0.9;

    private PauseRule() {}

    /**
     * Decides.
     *
     * @param tokens cached tokens of the session
     * @param pauseMillis expected length of the pause
     * @param holderFill share of the holder's cache in use
     * @param residenceMillis time for which the holder keeps unused sessions, as observed
     * @param roomiestFill share of the cache in use at the emptiest known target
     * @param computeMillis time to compute the tokens again
     * @param copyMillis time to copy them
     */
    public static PauseCacheAction decide(
            double tokens,
            double pauseMillis,
            double holderFill,
            double residenceMillis,
            double roomiestFill,
            double computeMillis,
            double copyMillis) {
        if (tokens <= 0 || holderFill < PRESSURE_FILL || pauseMillis < residenceMillis) {
            return PauseCacheAction.KEEP;
        }
        if (roomiestFill < PRESSURE_FILL && copyMillis < computeMillis) {
            return PauseCacheAction.EXPORT;
        }
        return PauseCacheAction.RELEASE;
    }
}
