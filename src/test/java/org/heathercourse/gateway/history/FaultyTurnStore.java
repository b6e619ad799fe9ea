package org.heathercourse.gateway.history;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;
import org.heathercourse.testing.hosted.MemoryRows;

/**
 * A store in memory that fails on request and rejects what exceeds the limits of the platform's
 * store.
 */
final class FaultyTurnStore implements RowStore {
    private static final int MAX_VALUE_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_TRANSACTION_BYTES = 1_000_000;
    private static final int MAX_PAGE_ROWS = 500;

    /** Bytes of JSON of an entry without its texts and value. */
    private static final int ENTRY_OVERHEAD_BYTES = 120;

    final MemoryRows mRows = new MemoryRows();
    final List<RowTransaction> mDelayedWrites = new ArrayList<>();
    boolean mDown;
    boolean mUnresponsive;
    int mLostReplies;
    int mDelayedNext;
    int mUnansweredNext;

    /** Runs once, before the next transaction; null if nothing does. */
    Runnable mBeforeCommit;

    int mReadCount;
    int mCommitCount;
    long mWrittenBytes;

    @Override
    public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
        if (mDown) {
            return unavailable();
        }
        List<StoredRow> rows = mRows.read(table, part, fromKey).join().rows();
        boolean hasMore = rows.size() > MAX_PAGE_ROWS;
        return CompletableFuture.completedFuture(
                new RowPage(hasMore ? rows.subList(0, MAX_PAGE_ROWS) : rows, hasMore, 1));
    }

    @Override
    public CompletableFuture<StoredRow> read(RowKey key) {
        mReadCount++;
        if (mUnresponsive) {
            return new CompletableFuture<>();
        }
        return mDown ? unavailable() : mRows.read(key);
    }

    @Override
    public CompletableFuture<RowPage> changes(String table, long after, long waitMillis) {
        return mRows.changes(table, after, waitMillis);
    }

    @Override
    public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
        requireWithinLimits(transaction);
        if (mBeforeCommit != null) {
            Runnable task = mBeforeCommit;
            mBeforeCommit = null;
            task.run();
        }
        mCommitCount++;
        if (mUnresponsive) {
            return new CompletableFuture<>();
        }
        if (mDown) {
            return unavailable();
        }
        if (mUnansweredNext > 0) {
            mUnansweredNext--;
            return new CompletableFuture<>();
        }
        if (mDelayedNext > 0) {
            mDelayedNext--;
            mDelayedWrites.add(transaction);
            return outcomeUnknown();
        }
        CompletableFuture<RowCommit> result = mRows.commit(transaction);
        if (mLostReplies > 0) {
            mLostReplies--;
            return outcomeUnknown();
        }
        return result;
    }

    /** Executes the writes whose replies were lost before they took effect. */
    void executeDelayedWrites() {
        mDelayedWrites.forEach(mRows::commit);
        mDelayedWrites.clear();
    }

    /** Returns the rows of all parts of a table. */
    List<StoredRow> rows(String table) {
        List<StoredRow> rows = new ArrayList<>();
        for (int part = 0; part < TurnKeys.PARTS; part++) {
            rows.addAll(mRows.read(table, Integer.toString(part), "").join().rows());
        }
        return rows;
    }

    private void requireWithinLimits(RowTransaction transaction) {
        long sizeBytes = 0;
        for (RowTransaction.Write write : transaction.writes()) {
            int keyBytes = write.key().key().getBytes(StandardCharsets.UTF_8).length;
            int valueBytes = write.value() == null ? 0 : write.value().length;
            if (keyBytes > RowKey.MAX_TEXT_BYTES || valueBytes > MAX_VALUE_BYTES) {
                throw new AssertionError("row exceeds limits: " + write.key() + " " + valueBytes);
            }
            mWrittenBytes += valueBytes;
            sizeBytes += ENTRY_OVERHEAD_BYTES + 2L * keyBytes + (valueBytes + 2) / 3 * 4;
        }
        long parts = transaction.writes().stream().map(w -> w.key().part()).distinct().count();
        int entries = transaction.writes().size();
        if (parts != 1 || entries > MAX_ENTRIES || sizeBytes > MAX_TRANSACTION_BYTES) {
            throw new AssertionError(
                    "transaction exceeds limits: %d parts, %d entries, %d bytes"
                            .formatted(parts, entries, sizeBytes));
        }
    }

    private static <T> CompletableFuture<T> unavailable() {
        return CompletableFuture.failedFuture(StoreException.unavailable("down", null));
    }

    private static <T> CompletableFuture<T> outcomeUnknown() {
        return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
    }
}
