package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.ChangesExpiredException;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Follows the rows of one table: reads a snapshot, then polls for changes, and reads a new snapshot
 * whenever the store has discarded the changes since the last read.
 *
 * <p>Confined to the control thread. Runs until the control thread ends.
 */
final class TableFollower {
    /** Delay in milliseconds before a failed read is retried. */
    static final long RETRY_DELAY_MILLIS = 150;

    /** Delay in milliseconds before rows that were not applied are read again. */
    static final long REAPPLY_DELAY_MILLIS = 1_000;

    /** Time in milliseconds without a successful read after which the outage is logged. */
    private static final long LOSS_LOG_DELAY_MILLIS = 2_000;

    private static final EventLog LOG = EventLog.of(TableFollower.class);

    /** Receives the rows; called on the control thread. */
    interface Listener {
        /**
         * Called with a snapshot of the table.
         *
         * @param rows all rows of the table
         */
        void onSnapshot(List<StoredRow> rows);

        /**
         * Called with the rows that have changed; {@link StoredRow#exists} is false for removed
         * rows.
         *
         * @param rows the changed rows
         */
        void onChanges(List<StoredRow> rows);

        /**
         * Called after each successful read but the first, before its rows are delivered.
         *
         * @param sinceLastReadMillis age of the last read's rows, in milliseconds
         */
        void onReadSucceeded(long sinceLastReadMillis);
    }

    private final String mTable;
    private final long mMaxWaitMillis;
    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mTicker;
    private final ReadFreshness mFreshness;
    private final Listener mListener;
    private boolean mLost;

    /** Versions of the rows of the last snapshot until its changes were read; empty after that. */
    private Map<RowKey, Long> mSnapshotVersions = Map.of();

    private long mSnapshotEndVersion;

    /**
     * Creates a follower that has not started.
     *
     * @param table name of the table
     * @param maxWaitMillis maximum time in milliseconds for which the store holds a read until a
     *     change arrives; while the store is available, the rows are at most about twice as old
     */
    TableFollower(
            String table,
            long maxWaitMillis,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            Listener listener) {
        mTable = table;
        mMaxWaitMillis = maxWaitMillis;
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mFreshness = new ReadFreshness(ticker);
        mListener = listener;
    }

    /** Returns the freshness of the rows. */
    ReadFreshness freshness() {
        return mFreshness;
    }

    void start() {
        readPage("", new Snapshot(mTicker.now()));
    }

    // Snapshots

    /** The pages of a snapshot that were read so far, each as of a version of its own. */
    private static final class Snapshot {
        private final SuspendAwareClock.Timestamp mReadStart;
        private final List<StoredRow> mRows = new ArrayList<>();
        private long mFirstVersion = Long.MAX_VALUE;

        Snapshot(SuspendAwareClock.Timestamp readStart) {
            mReadStart = readStart;
        }

        void add(RowPage page) {
            mRows.addAll(page.rows());
            mFirstVersion = Math.min(mFirstVersion, page.storeVersion());
        }

        /** Returns the versions of the rows by their keys. */
        Map<RowKey, Long> versions() {
            Map<RowKey, Long> versions = new HashMap<>();
            mRows.forEach(row -> versions.put(row.key(), row.version()));
            return versions;
        }
    }

    private void readPage(String fromKey, Snapshot snapshot) {
        mStore.read(mTable, "", fromKey)
                .whenCompleteAsync((page, error) -> onPage(snapshot, page, error), mControl);
    }

    private void onPage(Snapshot snapshot, RowPage page, Throwable error) {
        if (error != null) {
            recordFailure(error);
            mControl.schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        snapshot.add(page);
        if (page.hasMore() && !page.rows().isEmpty()) {
            // The smallest key after the last one read.
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            readPage(lastKey + '\0', snapshot);
            return;
        }
        if (apply(snapshot.mReadStart, () -> mListener.onSnapshot(snapshot.mRows))) {
            // Rows of earlier pages may have changed before the last page was read.
            mSnapshotVersions = snapshot.versions();
            mSnapshotEndVersion = page.storeVersion();
            readChanges(snapshot.mFirstVersion);
        } else {
            scheduleSnapshot();
        }
    }

    /** Reads a new snapshot a little later, because rows of the last read were not applied. */
    private void scheduleSnapshot() {
        mControl.schedule(this::start, REAPPLY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Changes

    private void readChanges(long afterVersion) {
        SuspendAwareClock.Timestamp readStart = mTicker.now();
        mStore.changes(mTable, afterVersion, mMaxWaitMillis)
                .whenCompleteAsync(
                        (page, error) -> onChanges(afterVersion, readStart, page, error), mControl);
    }

    private void onChanges(
            long afterVersion,
            SuspendAwareClock.Timestamp readStart,
            RowPage page,
            Throwable error) {
        if (error != null) {
            Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
            if (cause instanceof ChangesExpiredException) {
                LOG.info("history_lost", "table", mTable, "after", afterVersion);
                start();
                return;
            }
            recordFailure(cause);
            mControl.schedule(
                    () -> readChanges(afterVersion), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        List<StoredRow> rows = newerThanSnapshot(page.rows());
        boolean applied =
                apply(
                        readStart,
                        () -> {
                            if (!rows.isEmpty()) {
                                mListener.onChanges(rows);
                            }
                        });
        if (applied) {
            if (page.storeVersion() >= mSnapshotEndVersion) {
                mSnapshotVersions = Map.of();
            }
            readChanges(Math.max(afterVersion, page.storeVersion()));
        } else {
            scheduleSnapshot();
        }
    }

    /**
     * Returns the rows without those that a later page of the snapshot has in the same or a newer
     * version.
     */
    private List<StoredRow> newerThanSnapshot(List<StoredRow> rows) {
        return mSnapshotVersions.isEmpty()
                ? rows
                : rows.stream().filter(this::isNewerThanSnapshot).toList();
    }

    private boolean isNewerThanSnapshot(StoredRow row) {
        if (!row.exists()) {
            // The version of the removal is unknown; the row may have been written again since.
            mSnapshotVersions.remove(row.key());
            return true;
        }
        return row.version() > mSnapshotVersions.getOrDefault(row.key(), StoredRow.ABSENT);
    }

    // Outcome of reads

    private void recordFailure(Throwable error) {
        if (!mLost && mFreshness.ageMillis() > LOSS_LOG_DELAY_MILLIS) {
            mLost = true;
            LOG.warn("table_lost", "table", mTable, "reason", error.getMessage());
        }
    }

    /**
     * Records a successful read and delivers its rows.
     *
     * @return whether the rows were applied; a read counts only then
     */
    private boolean apply(SuspendAwareClock.Timestamp readStart, Runnable notifyListener) {
        long gapMillis = mFreshness.ageMillis();
        if (mLost) {
            mLost = false;
            LOG.info("table_regained", "table", mTable, "gapMillis", gapMillis);
        }
        try {
            if (gapMillis != ReadFreshness.NEVER_MILLIS) {
                mListener.onReadSucceeded(gapMillis);
            }
            notifyListener.run();
            mFreshness.recordRead(readStart);
            return true;
        } catch (RuntimeException | Error e) {
            // An uncaught error, such as a stack overflow, would end the reads without a trace.
            LOG.error("rows_not_applied", e, "table", mTable);
            return false;
        }
    }
}
