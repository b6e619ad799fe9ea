package org.heathercourse.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.heathercourse.core.time.WallTicker;

/**
 * Keeps the list of targets while rows come and go.
 *
 * <p>Rows lapse while the store is away, although their targets live. A row that is missing at the
 * first read after such a time is therefore kept for {@link #REREGISTRATION_MILLIS}; one that is
 * missing at any other time is gone at once. Not safe for use by several threads.
 */
public final class TargetTracker {
    /** Time in milliseconds in which living targets write their rows again after an outage. */
    public static final long REREGISTRATION_MILLIS = 2_200;

    /** Time without a read in milliseconds from which on rows may have lapsed. */
    public static final long MIN_OUTAGE_MILLIS = 1_500;

    private final WallTicker mTicker;
    private final Map<String, Target> mTargets = new HashMap<>();
    private final Map<String, WallTicker.Moment> mMissingSince = new HashMap<>();
    private WallTicker.Moment mOutageEndMoment;

    /**
     * Creates a tracker without targets.
     *
     * @param ticker source of moments
     */
    public TargetTracker(WallTicker ticker) {
        mTicker = ticker;
    }

    /** Notes that the store answers again after at least {@link #MIN_OUTAGE_MILLIS}. */
    public void onOutageEnded() {
        mOutageEndMoment = mTicker.now();
    }

    /** Replaces all rows. */
    public void replaceAll(List<Target> targets) {
        Map<String, Target> present = new HashMap<>();
        targets.forEach(target -> present.put(target.id(), target));
        for (String id : List.copyOf(mTargets.keySet())) {
            if (!present.containsKey(id)) {
                remove(id);
            }
        }
        present.values().forEach(this::put);
    }

    /** Notes a row that was written. */
    public void put(Target target) {
        mTargets.put(target.id(), target);
        mMissingSince.remove(target.id());
    }

    /** Notes a row that was removed or names no usable target any more. */
    public void remove(String id) {
        if (!mTargets.containsKey(id)) {
            return;
        }
        if (isReregistering()) {
            mMissingSince.putIfAbsent(id, mOutageEndMoment);
        } else {
            mTargets.remove(id);
            mMissingSince.remove(id);
        }
    }

    private boolean isReregistering() {
        return mOutageEndMoment != null
                && mTicker.millisSince(mOutageEndMoment) < REREGISTRATION_MILLIS;
    }

    /**
     * Drops the rows that have been missing for too long.
     *
     * @return the targets that were dropped
     */
    public List<Target> expire() {
        List<Target> expired = new ArrayList<>();
        mMissingSince
                .entrySet()
                .removeIf(
                        missing -> {
                            if (mTicker.millisSince(missing.getValue()) < REREGISTRATION_MILLIS) {
                                return false;
                            }
                            expired.add(mTargets.remove(missing.getKey()));
                            return true;
                        });
        expired.removeIf(Objects::isNull);
        return expired;
    }

    /** Returns whether rows are missing or may still be found missing after an outage. */
    public boolean hasPendingRemovals() {
        return isReregistering() || !mMissingSince.isEmpty();
    }

    /** Returns the targets as they are now. */
    public TargetList list() {
        return new TargetList(mTargets.values());
    }
}
