package org.heathercourse.testing.hosted;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.rows.ChangesExpiredException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * A row store in memory. Returned futures are already complete, except those of reads that wait for
 * changes. Thread-safe.
 */
public final class MemoryRows implements RowStore {
    private static final Comparator<RowKey> ORDER =
            Comparator.comparing(RowKey::table)
                    .thenComparing(RowKey::part)
                    .thenComparing(RowKey::key);

    private final TreeMap<RowKey, StoredRow> mRows = new TreeMap<>(ORDER);
    private final List<Change> mHistory = new ArrayList<>();
    private final List<WaitingRead> mWaitingReads = new ArrayList<>();
    private long mVersion;
    private long mDiscardedUpToVersion;

    /** A changed row and the store version of the change. */
    private record Change(long version, StoredRow row) {}

    /** A read that waits for changes. */
    private record WaitingRead(String table, long afterVersion, CompletableFuture<RowPage> page) {}

    @Override
    public synchronized CompletableFuture<RowPage> read(String table, String part, String fromKey) {
        List<StoredRow> rows = new ArrayList<>();
        for (Map.Entry<RowKey, StoredRow> row : mRows.entrySet()) {
            RowKey key = row.getKey();
            if (key.table().equals(table)
                    && key.part().equals(part)
                    && key.key().compareTo(fromKey) >= 0) {
                rows.add(row.getValue());
            }
        }
        return CompletableFuture.completedFuture(new RowPage(rows, false, mVersion));
    }

    @Override
    public synchronized CompletableFuture<StoredRow> read(RowKey key) {
        StoredRow row = mRows.getOrDefault(key, StoredRow.absent(key));
        return CompletableFuture.completedFuture(row);
    }

    @Override
    public synchronized CompletableFuture<RowPage> changes(
            String table, long afterVersion, long waitMillis) {
        if (afterVersion < mDiscardedUpToVersion) {
            return CompletableFuture.failedFuture(new ChangesExpiredException(table, afterVersion));
        }
        RowPage page = changesAfter(table, afterVersion);
        if (!page.rows().isEmpty() || waitMillis == 0) {
            return CompletableFuture.completedFuture(page);
        }
        WaitingRead waitingRead = new WaitingRead(table, afterVersion, new CompletableFuture<>());
        mWaitingReads.add(waitingRead);
        return waitingRead.page();
    }

    private RowPage changesAfter(String table, long afterVersion) {
        List<StoredRow> rows =
                mHistory.stream()
                        .filter(change -> change.version() > afterVersion)
                        .map(Change::row)
                        .filter(row -> row.key().table().equals(table))
                        .toList();
        return new RowPage(rows, false, mVersion);
    }

    /** Completes all reads that wait for changes, as if their timeouts had expired. */
    public void completeWaitingReads() {
        List<WaitingRead> completedReads;
        List<RowPage> pages = new ArrayList<>();
        synchronized (this) {
            completedReads = List.copyOf(mWaitingReads);
            mWaitingReads.clear();
            completedReads.forEach(
                    waitingRead ->
                            pages.add(
                                    changesAfter(waitingRead.table(), waitingRead.afterVersion())));
        }
        for (int i = 0; i < completedReads.size(); i++) {
            completedReads.get(i).page().complete(pages.get(i));
        }
    }

    /** Discards the history, so that reads of changes before the current version fail. */
    public synchronized void discardHistory() {
        mHistory.clear();
        mDiscardedUpToVersion = mVersion;
    }

    @Override
    public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
        RowCommit result = apply(transaction);
        if (result.committed()) {
            completeSatisfiedReads();
        }
        return CompletableFuture.completedFuture(result);
    }

    private synchronized RowCommit apply(RowTransaction transaction) {
        List<StoredRow> currentRows = new ArrayList<>();
        boolean conditionsHold = true;
        for (RowTransaction.Write write : transaction.writes()) {
            if (write.expectedVersion() != RowTransaction.ANY_VERSION) {
                StoredRow row = mRows.getOrDefault(write.key(), StoredRow.absent(write.key()));
                currentRows.add(row);
                conditionsHold &= row.version() == write.expectedVersion();
            }
        }
        if (!conditionsHold) {
            return new RowCommit(false, 0, currentRows);
        }
        mVersion++;
        for (RowTransaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                mRows.remove(write.key());
                mHistory.add(new Change(mVersion, StoredRow.absent(write.key())));
            } else {
                StoredRow row = new StoredRow(write.key(), write.value(), mVersion);
                mRows.put(write.key(), row);
                mHistory.add(new Change(mVersion, row));
            }
        }
        return new RowCommit(true, mVersion, List.of());
    }

    private void completeSatisfiedReads() {
        List<WaitingRead> completedReads = new ArrayList<>();
        List<RowPage> pages = new ArrayList<>();
        synchronized (this) {
            for (WaitingRead waitingRead : List.copyOf(mWaitingReads)) {
                RowPage page = changesAfter(waitingRead.table(), waitingRead.afterVersion());
                if (!page.rows().isEmpty()) {
                    mWaitingReads.remove(waitingRead);
                    completedReads.add(waitingRead);
                    pages.add(page);
                }
            }
        }
        for (int i = 0; i < completedReads.size(); i++) {
            completedReads.get(i).page().complete(pages.get(i));
        }
    }
}
