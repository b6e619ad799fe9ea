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
 * Follows the rows of one table: reads it in full, then asks for changes again and again, and reads
 * it in full once more whenever the store no longer has the changes.
 *
 * <p>Confined to the control thread. Never ends by itself.
 */
final class TableFollower {
    /** Pause in milliseconds before a read that failed is repeated. */
    static final long RETRY_MILLIS = 150;

    /** Time without a read in milliseconds from which on the loss of the store is logged. */
    private static final long LOST_MILLIS = 2_000;

    private static final EventLog LOG = EventLog.of(TableFollower.class);

    /** Receives the rows. */
    interface Listener {
        /**
         * Called with all rows of the table.
         *
         * @param rows the rows
         */
        void onAll(List<StoredRow> rows);

        /**
         * Called with the rows that changed; those that were removed do not exist.
         *
         * @param rows the rows
         */
        void onChanges(List<StoredRow> rows);

        /**
         * Called before the first rows after a time without successful reads.
         *
         * @param gapMillis length of that time in milliseconds
         */
        void onRegained(long gapMillis);
    }

    private final String mTable;
    private final long mWaitMillis;
    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mTicker;
    private final ReadFreshness mFreshness;
    private final Listener mListener;
    private boolean mLost;

    /**
     * Creates a follower that has not started.
     *
     * @param table the table
     * @param waitMillis longest wait of the store for a change in milliseconds; what is known is at
     *     most about twice as old
     */
    TableFollower(
            String table,
            long waitMillis,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            Listener listener) {
        mTable = table;
        mWaitMillis = waitMillis;
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mFreshness = new ReadFreshness(ticker);
        mListener = listener;
    }

    /** Returns how old the rows may be. */
    ReadFreshness freshness() {
        return mFreshness;
    }

    void start() {
        readAll("", new ArrayList<>(), mTicker.now());
    }

    // Full reads

    private void readAll(
            String fromKey, List<StoredRow> before, SuspendAwareClock.Timestamp started) {
        mStore.read(mTable, "", fromKey)
                .whenCompleteAsync((page, error) -> onPage(before, started, page, error), mControl);
    }

    private void onPage(
            List<StoredRow> before,
            SuspendAwareClock.Timestamp started,
            RowPage page,
            Throwable error) {
        if (error != null) {
            failed(error);
            mControl.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        before.addAll(page.rows());
        if (page.hasMore() && !page.rows().isEmpty()) {
            // The smallest key that is greater than the last one read.
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            readAll(lastKey + '\0', before, started);
            return;
        }
        succeeded(started, () -> mListener.onAll(before));
        follow(page.storeVersion());
    }

    // Changes

    private void follow(long afterVersion) {
        SuspendAwareClock.Timestamp started = mTicker.now();
        mStore.changes(mTable, afterVersion, mWaitMillis)
                .whenCompleteAsync(
                        (page, error) -> onChanges(afterVersion, started, page, error), mControl);
    }

    private void onChanges(
            long afterVersion, SuspendAwareClock.Timestamp started, RowPage page, Throwable error) {
        if (error != null) {
            Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
            if (cause instanceof ChangesExpiredException) {
                LOG.info("history_lost", "table", mTable, "after", afterVersion);
                start();
                return;
            }
            failed(cause);
            mControl.schedule(() -> follow(afterVersion), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        succeeded(
                started,
                () -> {
                    if (!page.rows().isEmpty()) {
                        mListener.onChanges(page.rows());
                    }
                });
        follow(Math.max(afterVersion, page.storeVersion()));
    }

    // Outcome of reads

    private void failed(Throwable error) {
        if (!mLost && mFreshness.ageMillis() > LOST_MILLIS) {
            mLost = true;
            LOG.warn("table_lost", "table", mTable, "reason", error.getMessage());
        }
    }

    private void succeeded(SuspendAwareClock.Timestamp started, Runnable apply) {
        long gapMillis = mFreshness.ageMillis();
        if (gapMillis != ReadFreshness.NEVER_MILLIS) {
            mListener.onRegained(gapMillis);
        }
        if (mLost) {
            mLost = false;
            LOG.info("table_regained", "table", mTable, "gapMillis", gapMillis);
        }
        try {
            apply.run();
            // Only rows that could be applied count as known.
            mFreshness.recordRead(started);
        } catch (RuntimeException e) {
            LOG.error("rows_not_applied", e, "table", mTable);
        }
    }
}
