package org.heathercourse.gateway.control;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Removes the budgets of programs that have ended, which nobody reports, from the store.
 *
 * <p>The leader visits one part of the table after the other, each part once in {@link
 * #PERIOD_MILLIS}. A row that was not written between two visits is removed, on the condition that
 * it still has its version. The store's version at the visit before is all that has to be kept,
 * because versions increase with each write. A new leader removes nothing at its first visit.
 * Confined to the control thread.
 */
final class BudgetSweeper {
    /**
     * Minimum time in milliseconds without a write after which a row is removed. A program that was
     * stopped may come back for a while, and must not find a new budget then.
     */
    static final long PERIOD_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** Maximum number of rows that one transaction removes. */
    private static final int MAX_REMOVALS = 50;

    private static final long UNKNOWN_VERSION = -1;
    private static final EventLog LOG = EventLog.of(BudgetSweeper.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final BooleanSupplier mIsLeader;
    private final long[] mVersionOfLastVisit = new long[BudgetLedger.TABLE_PARTS];
    private int mNextPart;

    /**
     * Creates a sweeper that has not started.
     *
     * @param store the store
     * @param control the control thread
     * @param isLeader returns whether this gateway leads now
     */
    BudgetSweeper(RowStore store, ScheduledExecutorService control, BooleanSupplier isLeader) {
        mStore = store;
        mControl = control;
        mIsLeader = isLeader;
        Arrays.fill(mVersionOfLastVisit, UNKNOWN_VERSION);
    }

    void start() {
        mControl.schedule(
                this::visitNextPart,
                PERIOD_MILLIS / BudgetLedger.TABLE_PARTS,
                TimeUnit.MILLISECONDS);
    }

    private void visitNextPart() {
        start();
        int part = mNextPart;
        mNextPart = (part + 1) % BudgetLedger.TABLE_PARTS;
        if (mIsLeader.getAsBoolean()) {
            readPage(part, "", new Visit(mVersionOfLastVisit[part]));
        } else {
            mVersionOfLastVisit[part] = UNKNOWN_VERSION;
        }
    }

    /** The visit of one part; it removes rows up to the version of the visit before. */
    private static final class Visit {
        private final long mMaxRemovedVersion;
        private long mStoreVersion = UNKNOWN_VERSION;
        private int mRemovals;

        Visit(long maxRemovedVersion) {
            mMaxRemovedVersion = maxRemovedVersion;
        }
    }

    private void readPage(int part, String fromKey, Visit visit) {
        mStore.read(BudgetLedger.TABLE, Integer.toString(part), fromKey)
                .whenCompleteAsync((page, error) -> onPage(part, visit, page, error), mControl);
    }

    private void onPage(int part, Visit visit, RowPage page, Throwable error) {
        if (error != null) {
            // The next visit reads the part again; nothing depends on the time of a removal.
            LOG.info("budget_rows_not_read", "part", part, "reason", error.getMessage());
            return;
        }
        if (visit.mStoreVersion == UNKNOWN_VERSION) {
            visit.mStoreVersion = page.storeVersion();
        }
        List<StoredRow> outdated =
                page.rows().stream()
                        .filter(row -> row.version() <= visit.mMaxRemovedVersion)
                        .toList();
        for (int from = 0; from < outdated.size(); from += MAX_REMOVALS) {
            int to = Math.min(outdated.size(), from + MAX_REMOVALS);
            remove(part, outdated.subList(from, to));
            visit.mRemovals += to - from;
        }
        if (page.hasMore() && !page.rows().isEmpty()) {
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            readPage(part, lastKey + '\0', visit);
            return;
        }
        mVersionOfLastVisit[part] = visit.mStoreVersion;
        if (visit.mRemovals > 0) {
            LOG.info("budget_rows_outdated", "part", part, "rows", visit.mRemovals);
        }
    }

    private void remove(int part, List<StoredRow> rows) {
        RowTransaction.Builder removal = RowTransaction.builder();
        rows.forEach(row -> removal.remove(row.key(), row.version()));
        mStore.commit(removal.build())
                .whenComplete((commit, error) -> logFailedRemoval(part, commit, error));
    }

    /** Logs a removal that did not take effect; the next visit tries it again. */
    private static void logFailedRemoval(int part, RowCommit commit, Throwable error) {
        if (error != null) {
            LOG.info("budget_rows_not_removed", "part", part, "reason", error.getMessage());
        } else if (!commit.committed()) {
            LOG.info("budget_rows_not_removed", "part", part, "reason", "a row was written");
        }
    }
}
