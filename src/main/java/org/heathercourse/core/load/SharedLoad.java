package org.heathercourse.core.load;

import java.util.Map;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.SuspendAwareClock.Timestamp;

/**
 * What a gateway knows about the work of the other gateways, from one reply of the load owner.
 * Immutable.
 *
 * @param others work of the other gateways by incarnation of the target
 * @param speeds speeds of the targets
 * @param requested time at which the reply was requested; counts instead of the arrival, so that a
 *     delayed reply is as old as it is
 * @param ageMillis mean age of the reports at the owner, in milliseconds
 * @param collectingMillis time for which the owner had collected reports, in milliseconds
 */
public record SharedLoad(
        Map<String, TargetWork> others,
        SpeedTable speeds,
        Timestamp requested,
        long ageMillis,
        long collectingMillis) {
    /** Age in milliseconds from which the load is not used. */
    public static final long MAX_AGE_MILLIS = 2_000;

    /** Two report periods, after which the owner has heard from every gateway with work. */
    public static final long MIN_COLLECTING_MILLIS = 800;

    /** Returns the current age in milliseconds. */
    public long currentAgeMillis(SuspendAwareClock clock) {
        return ageMillis + clock.millisSince(requested);
    }

    /** Returns whether the load is young and complete enough to be used. */
    public boolean isUsable(SuspendAwareClock clock) {
        return collectingMillis >= MIN_COLLECTING_MILLIS
                && currentAgeMillis(clock) < MAX_AGE_MILLIS;
    }

    /** Returns the work of the other gateways at a target. */
    public TargetWork othersAt(String incarnation) {
        return others.getOrDefault(incarnation, TargetWork.NONE);
    }
}
