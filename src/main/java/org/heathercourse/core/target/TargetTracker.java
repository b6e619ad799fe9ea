package org.heathercourse.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Maintains the list of targets from changes of their table rows.
 *
 * <p>Rows expire during an outage of the store although their targets are alive. A row that is
 * missing after an outage is therefore kept for {@link #REREGISTRATION_MILLIS} after its end; a row
 * that is missing at any other time is removed immediately. Not thread-safe.
 */
public final class TargetTracker {
    /** Time after an outage within which live targets write their rows again. */
    public static final long REREGISTRATION_MILLIS = 2_200;

    /** Shortest time without a read of the store after which rows may have expired. */
    public static final long MIN_OUTAGE_MILLIS = 1_500;

    private final SuspendAwareClock mClock;
    private final Map<String, Target> mTargets = new HashMap<>();
    private final Map<String, SuspendAwareClock.Timestamp> mMissingSince = new HashMap<>();
    private SuspendAwareClock.Timestamp mOutageEndTimestamp;

    /**
     * Creates a tracker without targets.
     *
     * @param clock clock that measures the time since the end of an outage
     */
    public TargetTracker(SuspendAwareClock clock) {
        mClock = clock;
    }

    /**
     * Records that the store answers again after an outage of {@link #MIN_OUTAGE_MILLIS} or more.
     */
    public void onOutageEnded() {
        mOutageEndTimestamp = mClock.now();
    }

    /** Replaces all rows; missing ones are handled as by {@link #remove}. */
    public void replaceAll(List<Target> targets) {
        Map<String, Target> targetsById = new HashMap<>();
        targets.forEach(target -> targetsById.put(target.id(), target));
        for (String id : List.copyOf(mTargets.keySet())) {
            if (!targetsById.containsKey(id)) {
                remove(id);
            }
        }
        targetsById.values().forEach(this::put);
    }

    /** Adds or updates the target of a row. */
    public void put(Target target) {
        mTargets.put(target.id(), target);
        mMissingSince.remove(target.id());
    }

    /** Removes a target whose row was deleted or is invalid, after an outage with a delay. */
    public void remove(String id) {
        if (!mTargets.containsKey(id)) {
            return;
        }
        if (isReregistering()) {
            mMissingSince.putIfAbsent(id, mOutageEndTimestamp);
        } else {
            mTargets.remove(id);
            mMissingSince.remove(id);
        }
    }

    private boolean isReregistering() {
        return mOutageEndTimestamp != null
                && mClock.millisSince(mOutageEndTimestamp) < REREGISTRATION_MILLIS;
    }

    /**
     * Removes the targets whose rows are still missing {@link #REREGISTRATION_MILLIS} after the
     * outage.
     *
     * @return the removed targets
     */
    public List<Target> expire() {
        List<Target> expired = new ArrayList<>();
        mMissingSince
                .entrySet()
                .removeIf(
                        missing -> {
                            if (mClock.millisSince(missing.getValue()) < REREGISTRATION_MILLIS) {
                                return false;
                            }
                            expired.add(mTargets.remove(missing.getKey()));
                            return true;
                        });
        expired.removeIf(Objects::isNull);
        return expired;
    }

    /** Returns whether {@link #expire} must run again because rows are, or may become, missing. */
    public boolean hasPendingRemovals() {
        return isReregistering() || !mMissingSince.isEmpty();
    }

    /** Returns a snapshot of the current targets. */
    public TargetList list() {
        return new TargetList(mTargets.values());
    }
}
