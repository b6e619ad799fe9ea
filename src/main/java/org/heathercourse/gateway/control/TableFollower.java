package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.ChangesExpiredException;
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
        readSnapshot("", new ArrayList<>(), mTicker.now());
    }

    // Snapshots

    private void readSnapshot(
            String fromKey, List<StoredRow> rows, SuspendAwareClock.Timestamp readStart) {
        mStore.read(mTable, "", fromKey)
                .whenCompleteAsync((page, error) -> onPage(rows, readStart, page, error), mControl);
    }

    private void onPage(
            List<StoredRow> rows,
            SuspendAwareClock.Timestamp readStart,
            RowPage page,
            Throwable error) {
        if (error != null) {
            recordFailure(error);
            mControl.schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        rows.addAll(page.rows());
        if (page.hasMore() && !page.rows().isEmpty()) {
            // The smallest key after the last one read.
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            readSnapshot(lastKey + '\0', rows, readStart);
            return;
        }
        if (apply(readStart, () -> mListener.onSnapshot(rows))) {
            readChanges(page.storeVersion());
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
        boolean applied =
                apply(
                        readStart,
                        () -> {
                            if (!page.rows().isEmpty()) {
                                mListener.onChanges(page.rows());
                            }
                        });
        if (applied) {
            readChanges(Math.max(afterVersion, page.storeVersion()));
        } else {
            scheduleSnapshot();
        }
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
