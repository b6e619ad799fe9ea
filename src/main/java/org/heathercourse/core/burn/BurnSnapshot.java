package org.heathercourse.core.burn;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counters of one or more daemons at a moment. Immutable and safe for use by several threads.
 *
 * <p>Snapshots of different daemons add up; merging two snapshots of the same daemon counts its
 * calls twice.
 */
public final class BurnSnapshot {
    private static final BurnSnapshot EMPTY = new BurnSnapshot(Map.of());

    private final Map<ObjectiveKey, BurnSeries> mSeries;

    BurnSnapshot(Map<ObjectiveKey, BurnSeries> series) {
        mSeries = Map.copyOf(series);
    }

    /** Returns a snapshot without any call. */
    public static BurnSnapshot empty() {
        return EMPTY;
    }

    /**
     * Returns the sum of this snapshot and another daemon's.
     *
     * @param other snapshot of other daemons
     */
    public BurnSnapshot merge(BurnSnapshot other) {
        Map<ObjectiveKey, BurnSeries> merged = new HashMap<>(mSeries);
        other.mSeries.forEach((key, series) -> merged.merge(key, series, BurnSeries::plus));
        return new BurnSnapshot(merged);
    }

    /** Returns the objectives that have counters. */
    public Set<ObjectiveKey> keys() {
        return mSeries.keySet();
    }

    /** Returns the counters of an objective; empty ones if no call was counted. */
    BurnSeries series(ObjectiveKey key) {
        BurnSeries series = mSeries.get(key);
        return series == null ? new BurnSeries() : series;
    }
}
