package org.heathercourse.gateway.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.budget.BudgetRow;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * The budgets of the programs that this gateway owns, backed by rows in the store.
 *
 * <p>Unused tokens go back to the row soon after the last use, so that a program loses none of them
 * if its owner fails; see {@link ProgramBudget}. Tokens of turns that run at that time count as
 * spent.
 *
 * <p>Callers choose the names of programs, and a refused turn costs them nothing. The number of
 * programs in memory is therefore bounded; the row has all that is needed to go on.
 *
 * <p>At most one store call per program is outstanding; turns that need its result wait. A write
 * whose reply was lost is retried with the same expected version and writer id, so that it takes
 * effect once. Confined to the control thread.
 */
final class BudgetLedger {
    /** Number of parts of the table, over which the writes of programs are spread. */
    static final int TABLE_PARTS = 16;

    /**
     * Maximum time in milliseconds that a turn waits for the store. Shorter than the timeout of
     * another gateway's request to the owner: that gateway would otherwise take a slow store for an
     * unresponsive owner and close the link.
     */
    static final long MAX_STORE_WAIT_MILLIS = 280;

    /** Delay in milliseconds before a store call is retried while turns wait for it. */
    private static final long RETRY_DELAY_MILLIS = 100;

    /** Delay in milliseconds before a store call is retried if no turn waits for it. */
    private static final long BACKGROUND_RETRY_DELAY_MILLIS = 1_000;

    /**
     * Maximum age of a row in milliseconds; an older one is read again before a turn is rejected.
     */
    private static final long MAX_ROW_AGE_MILLIS = 500;

    /**
     * Time in milliseconds without use after which unused tokens of a program are returned to its
     * row. A program that goes on sooner needs no write for its next turn. Callers expect that a
     * turn counts with what it used 1 s after its end, also if its owner has failed.
     */
    static final long IDLE_RETURN_MILLIS = 500;

    static final String TABLE = "budget";
    private static final EventLog LOG = EventLog.of(BudgetLedger.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final String mWriterPrefix;
    private final BudgetAccounts mAccounts = new BudgetAccounts();
    private long mWriteCount;

    /**
     * The result of a reservation for a turn.
     *
     * @param outcome whether the tokens are reserved
     * @param begun whether a turn of the program has run before
     */
    record Grant(BudgetOutcome outcome, boolean begun) {}

    BudgetLedger(
            RowStore store, ScheduledExecutorService control, Ticker ticker, String writerPrefix) {
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mWriterPrefix = writerPrefix;
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param program key of the program
     * @param limitTokens the program's budget in tokens
     * @param needTokens maximum number of tokens that the turn can generate
     * @return the result; never completes exceptionally
     */
    CompletableFuture<Grant> reserve(String program, long limitTokens, long needTokens) {
        long now = mTicker.readMillis();
        Optional<BudgetAccount> found = mAccounts.open(program, now);
        if (found.isEmpty()) {
            return CompletableFuture.completedFuture(new Grant(BudgetOutcome.UNAVAILABLE, false));
        }
        BudgetAccount account = found.get();
        account.mLimitTokens = limitTokens;
        scheduleIdleCheck(account, IDLE_RETURN_MILLIS);
        CompletableFuture<Grant> grant = new CompletableFuture<>();
        account.mWaitingTurns.add(
                new BudgetAccount.WaitingTurn(
                        limitTokens, needTokens, now + MAX_STORE_WAIT_MILLIS, grant));
        serveWaiting(account);
        if (!grant.isDone()) {
            // The outstanding store call may take longer; it continues without the turn.
            mControl.schedule(
                    () -> expireWaiting(account), MAX_STORE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return grant;
    }

    private void expireWaiting(BudgetAccount account) {
        long now = mTicker.readMillis();
        while (!account.mWaitingTurns.isEmpty()
                && account.mWaitingTurns.peek().untilMillis() <= now) {
            completeFirst(account, BudgetOutcome.UNAVAILABLE);
        }
    }

    /**
     * Ends a turn and releases its unused tokens.
     *
     * @param program key of the program
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for the turn
     */
    void settle(String program, long unusedTokens, boolean ran) {
        BudgetAccount account = mAccounts.use(program, mTicker.readMillis());
        if (account != null && account.mBudget.openTurns() > 0) {
            account.mBudget.settle(unusedTokens, ran);
            scheduleIdleCheck(account, IDLE_RETURN_MILLIS);
            serveWaiting(account);
        }
    }

    /** Returns unused tokens once the program has not been used for a while. */
    private void scheduleIdleCheck(BudgetAccount account, long delayMillis) {
        if (!account.mIdleCheckScheduled) {
            account.mIdleCheckScheduled = true;
            mControl.schedule(() -> checkIdle(account), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void checkIdle(BudgetAccount account) {
        account.mIdleCheckScheduled = false;
        long idleMillis = mTicker.readMillis() - account.mLastUsedMillis;
        if (idleMillis < IDLE_RETURN_MILLIS) {
            scheduleIdleCheck(account, IDLE_RETURN_MILLIS - idleMillis);
        } else if (account.mBudget.shouldReturn(account.mLimitTokens)) {
            beginReturn(account);
        }
    }

    /** Returns the number of programs in memory. */
    int programCount() {
        return mAccounts.size();
    }

    // Waiting turns

    private void serveWaiting(BudgetAccount account) {
        while (!account.mStoreCallPending && !account.mWaitingTurns.isEmpty()) {
            BudgetAccount.WaitingTurn first = account.mWaitingTurns.peek();
            switch (account.mBudget.reserve(first.limitTokens(), first.needTokens())) {
                case GRANTED -> completeFirst(account, BudgetOutcome.GRANTED);
                case CHUNK_NEEDED -> acquireChunk(account, first);
                default -> rejectOrReread(account);
            }
        }
        continueReturn(account);
    }

    private void completeFirst(BudgetAccount account, BudgetOutcome outcome) {
        Grant grant = new Grant(outcome, account.mBudget.begun());
        account.mWaitingTurns.remove().grant().complete(grant);
    }

    /**
     * Rejects the first turn, but reads an old row again first: another gateway may have returned
     * tokens since.
     */
    private void rejectOrReread(BudgetAccount account) {
        boolean isRowStale = mTicker.readMillis() - account.mRowReadMillis > MAX_ROW_AGE_MILLIS;
        if (account.mRowKnown && !isRowStale) {
            BudgetAccount.WaitingTurn first = account.mWaitingTurns.peek();
            LOG.info(
                    "budget_exhausted",
                    "program",
                    account.mProgram,
                    "limitTokens",
                    first.limitTokens(),
                    "needTokens",
                    first.needTokens(),
                    "takenTokens",
                    account.mBudget.row().takenTokens(),
                    "availableTokens",
                    account.mBudget.availableTokens(),
                    "openTurns",
                    account.mBudget.openTurns());
            completeFirst(account, BudgetOutcome.EXHAUSTED);
            return;
        }
        account.mStoreCallPending = true;
        read(account);
    }

    private void read(BudgetAccount account) {
        mStore.read(account.mKey)
                .whenCompleteAsync((row, error) -> onRead(account, row, error), mControl);
    }

    private void onRead(BudgetAccount account, StoredRow row, Throwable error) {
        if (error == null) {
            recordRow(account, row);
            account.mStoreCallPending = false;
            serveWaiting(account);
        } else {
            retryLater(account, () -> read(account));
        }
    }

    // Writes

    /** A conditional write of a program's row, retried until its outcome is known. */
    private static final class Write {
        private final BudgetRow mRow;
        private final long mReturnedTokens;
        private boolean mMayBeCommitted;

        Write(BudgetRow row, long returnedTokens) {
            mRow = row;
            mReturnedTokens = returnedTokens;
        }
    }

    private void acquireChunk(BudgetAccount account, BudgetAccount.WaitingTurn first) {
        long waitingTokens =
                account.mWaitingTurns.stream()
                        .mapToLong(BudgetAccount.WaitingTurn::needTokens)
                        .sum();
        BudgetRow row =
                account.mBudget.afterChunk(
                        first.limitTokens(), waitingTokens, first.needTokens(), nextWriterId());
        account.mStoreCallPending = true;
        write(account, new Write(row, 0));
    }

    private String nextWriterId() {
        return mWriterPrefix + ++mWriteCount;
    }

    private void write(BudgetAccount account, Write write) {
        long version = account.mBudget.rowVersion();
        mStore.commit(RowTransaction.put(account.mKey, version, JsonRowCodec.encode(write.mRow)))
                .whenCompleteAsync(
                        (commit, error) -> onWritten(account, write, commit, error), mControl);
    }

    private void onWritten(BudgetAccount account, Write write, RowCommit commit, Throwable error) {
        if (error != null) {
            Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
            write.mMayBeCommitted |= !(cause instanceof StoreException e) || e.outcomeUnknown();
            // Both writes expect the same row version, so that only one of them can take effect.
            retryLater(account, () -> write(account, write));
            return;
        }
        if (commit.committed()) {
            account.mBudget.recordWrite(write.mRow, commit.version());
            recordRowTime(account);
        } else {
            onConflict(account, write, commit);
        }
        account.mStoreCallPending = false;
        serveWaiting(account);
    }

    private void onConflict(BudgetAccount account, Write write, RowCommit commit) {
        StoredRow currentRow =
                commit.currentRows().stream()
                        .filter(r -> r.key().equals(account.mKey))
                        .findFirst()
                        .orElse(StoredRow.absent(account.mKey));
        if (decode(currentRow).writer().equals(write.mRow.writer())) {
            account.mBudget.recordWrite(write.mRow, currentRow.version());
            recordRowTime(account);
            return;
        }
        // Another gateway may have written after a write of this one whose reply was lost. Tokens
        // that this write may have acquired or returned are then not used.
        if (!write.mMayBeCommitted) {
            account.mBudget.restoreUnreturned(write.mReturnedTokens);
        }
        recordRow(account, currentRow);
    }

    private void recordRow(BudgetAccount account, StoredRow row) {
        account.mBudget.recordRead(decode(row), row.version());
        recordRowTime(account);
    }

    private void recordRowTime(BudgetAccount account) {
        account.mRowKnown = true;
        account.mRowReadMillis = mTicker.readMillis();
    }

    private static BudgetRow decode(StoredRow row) {
        return row.exists()
                ? JsonRowCodec.decode(row, BudgetRow.class).orElse(BudgetRow.ABSENT)
                : BudgetRow.ABSENT;
    }

    /** Retries a store call after a delay. */
    private void retryLater(BudgetAccount account, Runnable call) {
        // The outcome of a write must be determined even if no turn waits for it.
        long delayMillis =
                account.mWaitingTurns.isEmpty()
                        ? BACKGROUND_RETRY_DELAY_MILLIS
                        : RETRY_DELAY_MILLIS;
        mControl.schedule(call, delayMillis, TimeUnit.MILLISECONDS);
    }

    // Return of unused tokens

    /**
     * Returns unused tokens to the programs' rows, so that other gateways can acquire them. Waits
     * for the store calls under way and for the turns that wait for them; what they leave is
     * returned too.
     *
     * @param filter selects programs by key
     * @return completes when the store has the tokens of all selected programs; not while the store
     *     is unavailable
     */
    CompletableFuture<Void> returnUnusedTokens(Predicate<String> filter) {
        return CompletableFuture.allOf(beginReturns(filter).toArray(new CompletableFuture<?>[0]));
    }

    /**
     * Begins the returns of {@link #returnUnusedTokens}, for callers that do not wait. May be
     * called repeatedly while the store is unavailable; this uses no further memory.
     *
     * @param filter selects programs by key
     */
    void beginReturnOfUnusedTokens(Predicate<String> filter) {
        beginReturns(filter);
    }

    private List<CompletableFuture<Void>> beginReturns(Predicate<String> filter) {
        return mAccounts.all().stream()
                .filter(account -> filter.test(account.mProgram))
                .map(this::beginReturn)
                .toList();
    }

    private CompletableFuture<Void> beginReturn(BudgetAccount account) {
        if (account.mReturn == null) {
            account.mReturn = new CompletableFuture<>();
        }
        CompletableFuture<Void> returned = account.mReturn;
        continueReturn(account);
        return returned;
    }

    /** Writes the return that was requested, if any, or completes it if no tokens are left. */
    private void continueReturn(BudgetAccount account) {
        if (account.mReturn == null
                || account.mStoreCallPending
                || !account.mWaitingTurns.isEmpty()) {
            return;
        }
        if (account.mRowKnown && account.mBudget.availableTokens() > 0) {
            writeReturn(account);
            return;
        }
        CompletableFuture<Void> returned = account.mReturn;
        account.mReturn = null;
        returned.complete(null);
    }

    private void writeReturn(BudgetAccount account) {
        long tokens = account.mBudget.beginReturn();
        account.mStoreCallPending = true;
        write(account, new Write(account.mBudget.afterReturn(tokens, nextWriterId()), tokens));
    }
}
