package org.heathercourse.testing.hosted;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.rows.HistoryLostException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * A row store in memory. Futures are complete when they are returned, but for those that wait for
 * changes. Safe for use by several threads.
 */
public final class MemoryRows implements RowStore {
    private static final Comparator<RowKey> ORDER =
            Comparator.comparing(RowKey::table)
                    .thenComparing(RowKey::part)
                    .thenComparing(RowKey::key);

    private final TreeMap<RowKey, StoredRow> mRows = new TreeMap<>(ORDER);
    private final List<Change> mHistory = new ArrayList<>();
    private final List<Waiter> mWaiters = new ArrayList<>();
    private long mVersion;
    private long mForgottenUpTo;

    /** A change of a row, with the version that it got. */
    private record Change(long version, StoredRow row) {}

    /** A read that waits for changes. */
    private record Waiter(String table, long after, CompletableFuture<RowPage> page) {}

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
        if (afterVersion < mForgottenUpTo) {
            return CompletableFuture.failedFuture(new HistoryLostException(table, afterVersion));
        }
        RowPage page = changesNow(table, afterVersion);
        if (!page.rows().isEmpty() || waitMillis == 0) {
            return CompletableFuture.completedFuture(page);
        }
        Waiter waiter = new Waiter(table, afterVersion, new CompletableFuture<>());
        mWaiters.add(waiter);
        return waiter.page();
    }

    private RowPage changesNow(String table, long afterVersion) {
        List<StoredRow> rows =
                mHistory.stream()
                        .filter(change -> change.version() > afterVersion)
                        .map(Change::row)
                        .filter(row -> row.key().table().equals(table))
                        .toList();
        return new RowPage(rows, false, mVersion);
    }

    /** Ends all reads that wait for changes, as if their time had come. */
    public void completeWaitingReads() {
        List<Waiter> ended;
        List<RowPage> pages = new ArrayList<>();
        synchronized (this) {
            ended = List.copyOf(mWaiters);
            mWaiters.clear();
            ended.forEach(waiter -> pages.add(changesNow(waiter.table(), waiter.after())));
        }
        for (int i = 0; i < ended.size(); i++) {
            ended.get(i).page().complete(pages.get(i));
        }
    }

    /** Forgets the changes up to now. */
    public synchronized void discardHistory() {
        mHistory.clear();
        mForgottenUpTo = mVersion;
    }

    @Override
    public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
        RowCommit result = apply(transaction);
        if (result.committed()) {
            endSatisfiedWaits();
        }
        return CompletableFuture.completedFuture(result);
    }

    private synchronized RowCommit apply(RowTransaction transaction) {
        List<StoredRow> conditions = new ArrayList<>();
        boolean holds = true;
        for (RowTransaction.Write write : transaction.writes()) {
            if (write.expectedVersion() != RowTransaction.ANY_VERSION) {
                StoredRow row = mRows.getOrDefault(write.key(), StoredRow.absent(write.key()));
                conditions.add(row);
                holds &= row.version() == write.expectedVersion();
            }
        }
        if (!holds) {
            return new RowCommit(false, 0, conditions);
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

    private void endSatisfiedWaits() {
        List<Waiter> ended = new ArrayList<>();
        List<RowPage> pages = new ArrayList<>();
        synchronized (this) {
            for (Waiter waiter : List.copyOf(mWaiters)) {
                RowPage page = changesNow(waiter.table(), waiter.after());
                if (!page.rows().isEmpty()) {
                    mWaiters.remove(waiter);
                    ended.add(waiter);
                    pages.add(page);
                }
            }
        }
        for (int i = 0; i < ended.size(); i++) {
            ended.get(i).page().complete(pages.get(i));
        }
    }
}
