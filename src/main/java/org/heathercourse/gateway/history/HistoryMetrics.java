package org.heathercourse.gateway.history;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the storage of histories. Safe for use by several threads. */
public final class HistoryMetrics {
    private final Meter mTurnsKept;
    private final Histogram mRowBytes;
    private final Meter mCacheHits;
    private final Meter mCacheMisses;
    private final Meter mReadsAbsent;
    private final Meter mReadsFailed;
    private final Meter mStoreRetries;
    private final Meter mWritesRecognized;
    private final Meter mWritesFailed;
    private final Histogram mWriteMillis;
    private final Meter mLifetimesExtended;
    private final Meter mRowsRemoved;

    /**
     * Creates the metrics.
     *
     * @param registry registry for the metrics
     */
    public HistoryMetrics(MetricRegistry registry) {
        mTurnsKept = registry.meter("history_turns_kept");
        mRowBytes = registry.histogram("history_row_bytes");
        mCacheHits = registry.meter("history_cache_hits");
        mCacheMisses = registry.meter("history_cache_misses");
        mReadsAbsent = registry.meter("history_reads_absent");
        mReadsFailed = registry.meter("history_reads_failed");
        mStoreRetries = registry.meter("history_store_retries");
        mWritesRecognized = registry.meter("history_writes_recognized");
        mWritesFailed = registry.meter("history_writes_failed");
        mWriteMillis = registry.histogram("history_write_millis");
        mLifetimesExtended = registry.meter("history_lifetimes_extended");
        mRowsRemoved = registry.meter("history_rows_removed");
    }

    void recordKept(int rowBytes, long writeMillis) {
        mTurnsKept.mark();
        mRowBytes.update(rowBytes);
        mWriteMillis.update(writeMillis);
    }

    void recordCacheHit() {
        mCacheHits.mark();
    }

    void recordCacheMiss() {
        mCacheMisses.mark();
    }

    void recordReadAbsent() {
        mReadsAbsent.mark();
    }

    void recordReadFailed() {
        mReadsFailed.mark();
    }

    void recordStoreRetry() {
        mStoreRetries.mark();
    }

    /** Counts a write whose reply was lost and that the store turned out to have. */
    void recordWriteRecognized() {
        mWritesRecognized.mark();
    }

    void recordWriteFailed() {
        mWritesFailed.mark();
    }

    void recordLifetimeExtended() {
        mLifetimesExtended.mark();
    }

    void recordRowsRemoved(int rows) {
        mRowsRemoved.mark(rows);
    }
}
