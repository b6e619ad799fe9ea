package org.heathercourse.core.ordering;

import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.model.RequestClass;

/**
 * Computes the engine priority of a call. Stateless and thread-safe.
 *
 * <p>The priority is a virtual start time: the arrival time plus an allowance that grows with the
 * service that the program has received and with the service of the workspace above its share. The
 * allowance is bounded, so a call that has waited longer than the bound precedes all newer calls
 * and never starves.
 */
public final class PriorityRule {
    /** Epoch time of priority 0: 2026-01-01T00:00Z. */
    static final long ORIGIN_EPOCH_MILLIS = 1_767_225_600_000L;

    /** Resolution of priorities, with which 31 bits last for 6.8 years after the origin. */
    static final long PRIORITY_UNIT_MILLIS = 100;

    /** Urgent calls precede all calls that have waited for less than this time. */
    static final long URGENT_ADVANCE_MILLIS = 120_000;

    /** Maximum allowance for received service. */
    static final long MAX_SERVICE_ALLOWANCE_MILLIS = 20_000;

    /** Maximum allowance for a workspace's service above its share. */
    static final long MAX_EXCESS_ALLOWANCE_MILLIS = 40_000;

    /**
     * Cache loss ratio from which running programs fully precede new ones. More programs than the
     * caches can hold evict each other's prefixes, and ordering by least attained service alone
     * keeps starting new ones.
     */
    private static final double FULL_PRESSURE_LOSS_RATIO = 0.1;

    /** Maximum allowance of a new program while caches are overcommitted. */
    private static final double MAX_PRESSURE_ALLOWANCE_MILLIS = 45_000;

    /** Decrease of that allowance for each millisecond of received service. */
    private static final double PRESSURE_MILLIS_PER_SERVICE_MILLI = 3;

    private static final long BATCH_ALLOWANCE_MILLIS = 30_000;

    private PriorityRule() {}

    /**
     * Returns the priority; smaller values are served first.
     *
     * @param requestClass class of the call
     * @param attainedMillis service that the program has received, in milliseconds of an engine
     * @param excessMillis service of the workspace above its share, in milliseconds of an engine
     * @param cacheLossRatio ratio of the target's calls followed by an eviction of an active
     *     session
     * @param epochMillis wall-clock time of arrival in milliseconds since the epoch
     * @param policy policy with the fairness weight
     */
    public static int priority(
            RequestClass requestClass,
            double attainedMillis,
            double excessMillis,
            double cacheLossRatio,
            long epochMillis,
            PolicySpec policy) {
        double allowanceMillis =
                serviceAllowanceMillis(attainedMillis, cacheLossRatio, policy)
                        + excessAllowanceMillis(excessMillis, policy);
        if (requestClass == RequestClass.URGENT) {
            allowanceMillis = excessAllowanceMillis(excessMillis, policy) - URGENT_ADVANCE_MILLIS;
        } else if (requestClass == RequestClass.BATCH) {
            allowanceMillis += BATCH_ALLOWANCE_MILLIS;
        }
        long virtualStartMillis = epochMillis - ORIGIN_EPOCH_MILLIS + Math.round(allowanceMillis);
        return (int)
                Math.max(
                        Integer.MIN_VALUE,
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.floorDiv(virtualStartMillis, PRIORITY_UNIT_MILLIS)));
    }

    private static double serviceAllowanceMillis(
            double attainedMillis, double cacheLossRatio, PolicySpec policy) {
        double pressure = Math.min(1, cacheLossRatio / FULL_PRESSURE_LOSS_RATIO);
        double leastServedFirstMillis =
                (1 - policy.fairnessWeight())
                        * Math.min(MAX_SERVICE_ALLOWANCE_MILLIS, attainedMillis);
        double startedFirstMillis =
                Math.max(
                        0,
                        MAX_PRESSURE_ALLOWANCE_MILLIS
                                - PRESSURE_MILLIS_PER_SERVICE_MILLI * attainedMillis);
        return (1 - pressure) * leastServedFirstMillis + pressure * startedFirstMillis;
    }

    private static double excessAllowanceMillis(double excessMillis, PolicySpec policy) {
        double boundedMillis = Math.max(0, Math.min(MAX_EXCESS_ALLOWANCE_MILLIS, excessMillis));
        return (0.5 + 0.5 * policy.fairnessWeight()) * boundedMillis;
    }
}
