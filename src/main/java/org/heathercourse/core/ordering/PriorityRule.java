package org.heathercourse.core.ordering;

import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.model.RequestClass;

/**
 * Maps a call to an engine priority. Pure functions without state.
 *
 * <p>The priority is a virtual start time: the arrival plus an allowance that grows with the
 * service that the program has received and with the workspace's lead over its share. As the
 * allowance is bounded, a call that has waited longer than the bound overtakes all newer ones, so
 * that none starves whatever the others do.
 */
public final class PriorityRule {
    /** Origin of priorities: 2026-01-01T00:00Z. */
    static final long ORIGIN_EPOCH_MILLIS = 1_767_225_600_000L;

    /** Resolution of priorities; 31 bits then last for 6.8 years after the origin. */
    static final long UNIT_MILLIS = 100;

    /** Urgent calls overtake all that have waited for less than this time. */
    static final long URGENT_ADVANCE_MILLIS = 120_000;

    /** Greatest allowance for received service. */
    static final long MAX_SERVICE_MILLIS = 20_000;

    /** Greatest allowance for a workspace's lead. */
    static final long MAX_LEAD_MILLIS = 40_000;

    /**
     * From this share of lost sessions on, programs that have begun go first. More programs than
     * the caches hold make each other compute prefixes again, and least attained service alone
     * keeps starting new ones.
     */
    private static final double FULL_PRESSURE_RATIO = 0.1;

    /** Greatest allowance of a new program while caches are short. */
    private static final double MAX_PRESSURE_MILLIS = 45_000;

    /** Allowance that a program loses for each millisecond of service received. */
    private static final double PRESSURE_SLOPE = 3;

    private static final long BATCH_MILLIS = 30_000;

    private PriorityRule() {}

    /**
     * Returns the priority; smaller is served earlier.
     *
     * @param requestClass how urgent the call is
     * @param attainedMillis service that the program has received, in milliseconds of an engine
     * @param leadMillis service of the workspace above its share, in milliseconds of an engine
     * @param cacheLossRatio share of the target's calls after which a live session lost its cache
     * @param epochMillis wall-clock time of arrival
     * @param policy weights
     */
    public static int priority(
            RequestClass requestClass,
            double attainedMillis,
            double leadMillis,
            double cacheLossRatio,
            long epochMillis,
            PolicySpec policy) {
        double allowance =
                serviceMillis(attainedMillis, cacheLossRatio, policy)
                        + leadMillis(leadMillis, policy);
        if (requestClass == RequestClass.URGENT) {
            allowance = leadMillis(leadMillis, policy) - URGENT_ADVANCE_MILLIS;
        } else if (requestClass == RequestClass.BATCH) {
            allowance += BATCH_MILLIS;
        }
        long virtual = epochMillis - ORIGIN_EPOCH_MILLIS + Math.round(allowance);
        return (int)
                Math.max(
                        Integer.MIN_VALUE,
                        Math.min(Integer.MAX_VALUE, Math.floorDiv(virtual, UNIT_MILLIS)));
    }

    private static double serviceMillis(
            double attainedMillis, double cacheLossRatio, PolicySpec policy) {
        double pressure = Math.min(1, cacheLossRatio / FULL_PRESSURE_RATIO);
        double least = (1 - policy.fairnessWeight()) * Math.min(MAX_SERVICE_MILLIS, attainedMillis);
        double most = Math.max(0, MAX_PRESSURE_MILLIS - PRESSURE_SLOPE * attainedMillis);
        return (1 - pressure) * least + pressure * most;
    }

    private static double leadMillis(double leadMillis, PolicySpec policy) {
        double lead = Math.max(0, Math.min(MAX_LEAD_MILLIS, leadMillis));
        return (0.5 + 0.5 * policy.fairnessWeight()) * lead;
    }
}
