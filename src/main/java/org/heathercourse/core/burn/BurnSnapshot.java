package org.heathercourse.core.burn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A snapshot of the objective counters of one or more daemons. Immutable and safe for use by
 * several threads.
 *
 * <p>Snapshots of different daemons can be merged; merging two snapshots of the same daemon counts
 * its calls twice.
 */
public final class BurnSnapshot {
    private static final BurnSnapshot EMPTY = new BurnSnapshot(Map.of());

    private final Map<ObjectiveKey, BurnSeries> mSeries;

    BurnSnapshot(Map<ObjectiveKey, BurnSeries> series) {
        mSeries = Map.copyOf(series);
    }

    /** Returns a snapshot without calls. */
    public static BurnSnapshot empty() {
        return EMPTY;
    }

    /**
     * Returns the sum of this snapshot and another one.
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

    /** Returns all buckets with calls; {@link #ofBuckets} recreates the snapshot from them. */
    public List<BurnBucket> buckets() {
        List<BurnBucket> buckets = new ArrayList<>();
        mSeries.forEach((key, series) -> series.appendBuckets(key, buckets));
        return buckets;
    }

    /**
     * Creates a snapshot of one daemon from its buckets.
     *
     * @param buckets the buckets; those of unknown length, which a newer daemon may send, are
     *     ignored
     */
    public static BurnSnapshot ofBuckets(List<BurnBucket> buckets) {
        Map<ObjectiveKey, BurnSeries> series = new HashMap<>();
        for (BurnBucket bucket : buckets) {
            series.computeIfAbsent(bucket.key(), k -> new BurnSeries()).addBucket(bucket);
        }
        return new BurnSnapshot(series);
    }

    /** Returns the counters of an objective, without calls if none was counted. */
    BurnSeries series(ObjectiveKey key) {
        BurnSeries series = mSeries.get(key);
        return series == null ? new BurnSeries() : series;
    }
}
