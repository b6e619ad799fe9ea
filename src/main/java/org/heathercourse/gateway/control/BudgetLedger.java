package org.heathercourse.gateway.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.budget.BudgetRow;
import org.heathercourse.core.budget.ProgramBudget;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * The budgets of the programs that this gateway owns, with their rows in the store.
 *
 * <p>One write of a program is under way at a time; turns that need it wait for it. A write whose
 * reply was lost is repeated under the same condition and with the same identity, so that it takes
 * effect once. Confined to the control thread.
 */
final class BudgetLedger {
    /** Parts of the table, over which the writes of different programs spread. */
    static final int PARTS = 16;

    /** Time in milliseconds for which a program that is not used stays in memory. */
    static final long KEEP_MILLIS = 180_000;

    /**
     * Longest time in milliseconds that a turn waits for the store. Shorter than the time for which
     * another gateway waits for the owner: that gateway would otherwise take a slow store for a
     * silent owner and close the link.
     */
    static final long PATIENCE_MILLIS = 280;

    /** Pause in milliseconds before a write is repeated. */
    private static final long RETRY_MILLIS = 100;

    /** Pause in milliseconds before a write is repeated that no turn waits for. */
    private static final long UNWATCHED_RETRY_MILLIS = 1_000;

    /** Age of a row in milliseconds from which on it is read again before a turn is refused. */
    private static final long RECHECK_MILLIS = 500;

    private static final String TABLE = "budget";
    private static final EventLog LOG = EventLog.of(BudgetLedger.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final String mWriterPrefix;
    private final Map<String, Account> mAccounts = new LinkedHashMap<>(16, 0.75f, true);
    private long mWrites;

    /**
     * Answer to a turn.
     *
     * @param outcome whether it may run
     * @param begun whether a turn of the program has run before
     */
    record Grant(BudgetOutcome outcome, boolean begun) {}

    /** A turn that waits for a chunk. */
    private record Waiting(
            long limitTokens, long needTokens, long untilMillis, CompletableFuture<Grant> grant) {}

    /** A program with the turns that wait. */
    private static final class Account {
        private final String mProgram;
        private final RowKey mKey;
        private final ProgramBudget mBudget = new ProgramBudget();
        private final Deque<Waiting> mWaiting = new ArrayDeque<>();
        private boolean mBusy;
        private boolean mKnown;
        private long mSeenMillis;
        private long mUsedMillis;

        Account(String program) {
            mProgram = program;
            int part = (int) (Rendezvous.unitHash(program) * PARTS);
            mKey = new RowKey(TABLE, Integer.toString(part), program);
        }
    }

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
     * @param limitTokens the program's budget
     * @param needTokens the most that the turn can generate
     * @return the answer; never fails
     */
    CompletableFuture<Grant> reserve(String program, long limitTokens, long needTokens) {
        long now = mTicker.readMillis();
        forgetUnused(now);
        Account account = mAccounts.computeIfAbsent(program, Account::new);
        account.mUsedMillis = now;
        CompletableFuture<Grant> grant = new CompletableFuture<>();
        account.mWaiting.add(new Waiting(limitTokens, needTokens, now + PATIENCE_MILLIS, grant));
        serve(account);
        if (!grant.isDone()) {
            // The call to the store under way may take longer and goes on without the turn.
            mControl.schedule(() -> giveUp(account), PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
        return grant;
    }

    private void giveUp(Account account) {
        long now = mTicker.readMillis();
        while (!account.mWaiting.isEmpty() && account.mWaiting.peek().untilMillis() <= now) {
            end(account, BudgetOutcome.UNAVAILABLE);
        }
    }

    /**
     * Ends a turn.
     *
     * @param program key of the program
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for it
     */
    void settle(String program, long unusedTokens, boolean ran) {
        Account account = mAccounts.get(program);
        if (account != null && account.mBudget.openTurns() > 0) {
            account.mUsedMillis = mTicker.readMillis();
            account.mBudget.settle(unusedTokens, ran);
            serve(account);
        }
    }

    private void forgetUnused(long nowMillis) {
        var oldest = mAccounts.values().iterator();
        while (oldest.hasNext()) {
            Account account = oldest.next();
            if (nowMillis - account.mUsedMillis < KEEP_MILLIS || account.mBusy) {
                return;
            }
            oldest.remove();
        }
    }

    // Turns that wait

    private void serve(Account account) {
        while (!account.mBusy && !account.mWaiting.isEmpty()) {
            Waiting first = account.mWaiting.peek();
            switch (account.mBudget.reserve(first.limitTokens(), first.needTokens())) {
                case GRANTED -> end(account, BudgetOutcome.GRANTED);
                case CHUNK_NEEDED -> takeChunk(account, first);
                default -> refuseOrRecheck(account);
            }
        }
    }

    private void end(Account account, BudgetOutcome outcome) {
        Grant grant = new Grant(outcome, account.mBudget.begun());
        account.mWaiting.remove().grant().complete(grant);
    }

    /** Another gateway may have given back tokens since the row was seen. */
    private void refuseOrRecheck(Account account) {
        boolean old = mTicker.readMillis() - account.mSeenMillis > RECHECK_MILLIS;
        if (account.mKnown && !old) {
            Waiting first = account.mWaiting.peek();
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
            end(account, BudgetOutcome.EXHAUSTED);
            return;
        }
        account.mBusy = true;
        read(account);
    }

    private void read(Account account) {
        mStore.read(account.mKey)
                .whenCompleteAsync((row, error) -> onRead(account, row, error), mControl);
    }

    private void onRead(Account account, StoredRow row, Throwable error) {
        if (error == null) {
            seen(account, row);
            account.mBusy = false;
            serve(account);
        } else {
            retry(account, () -> read(account));
        }
    }

    // Writes

    /** A conditional write of a program's row, repeated until its outcome is known. */
    private static final class Write {
        private final BudgetRow mRow;
        private final long mReturnedTokens;
        private boolean mMayBeDone;

        Write(BudgetRow row, long returnedTokens) {
            mRow = row;
            mReturnedTokens = returnedTokens;
        }
    }

    private void takeChunk(Account account, Waiting first) {
        BudgetRow row =
                account.mBudget.afterChunk(first.limitTokens(), first.needTokens(), nextWriter());
        account.mBusy = true;
        write(account, new Write(row, 0));
    }

    private String nextWriter() {
        return mWriterPrefix + ++mWrites;
    }

    private void write(Account account, Write write) {
        long version = account.mBudget.rowVersion();
        mStore.commit(RowTransaction.put(account.mKey, version, JsonRows.encode(write.mRow)))
                .whenCompleteAsync(
                        (commit, error) -> onWritten(account, write, commit, error), mControl);
    }

    private void onWritten(Account account, Write write, RowCommit commit, Throwable error) {
        if (error != null) {
            Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
            write.mMayBeDone |= !(cause instanceof StoreException e) || e.outcomeUnknown();
            // Under the same condition only one of both writes can take effect.
            retry(account, () -> write(account, write));
            return;
        }
        if (commit.committed()) {
            account.mBudget.recordWrite(write.mRow, commit.version());
            known(account);
        } else {
            onConflict(account, write, commit);
        }
        account.mBusy = false;
        serve(account);
    }

    private void onConflict(Account account, Write write, RowCommit commit) {
        StoredRow present =
                commit.currentRows().stream()
                        .filter(r -> r.key().equals(account.mKey))
                        .findFirst()
                        .orElse(StoredRow.absent(account.mKey));
        if (decode(present).writer().equals(write.mRow.writer())) {
            account.mBudget.recordWrite(write.mRow, present.version());
            known(account);
            return;
        }
        // Another gateway may have written on top of a write whose reply was lost: what may have
        // been taken is then not used, and what may have been given back is not used either.
        if (!write.mMayBeDone) {
            account.mBudget.restoreUnreturned(write.mReturnedTokens);
        }
        seen(account, present);
    }

    private void seen(Account account, StoredRow row) {
        account.mBudget.recordRead(decode(row), row.version());
        known(account);
    }

    private void known(Account account) {
        account.mKnown = true;
        account.mSeenMillis = mTicker.readMillis();
    }

    private static BudgetRow decode(StoredRow row) {
        return row.exists()
                ? JsonRows.decode(row, BudgetRow.class).orElse(BudgetRow.ABSENT)
                : BudgetRow.ABSENT;
    }

    /** Repeats a call to the store after a pause. */
    private void retry(Account account, Runnable call) {
        // A write whose outcome is unknown has to be settled even if nobody waits for it.
        long pauseMillis = account.mWaiting.isEmpty() ? UNWATCHED_RETRY_MILLIS : RETRY_MILLIS;
        mControl.schedule(call, pauseMillis, TimeUnit.MILLISECONDS);
    }

    // Giving back

    /**
     * Gives back what is not in use, so that other gateways can use it.
     *
     * @param filter which programs
     */
    void returnUnusedTokens(Predicate<String> filter) {
        for (Account account : mAccounts.values()) {
            boolean idle =
                    !account.mBusy
                            && account.mKnown
                            && account.mBudget.availableTokens() > 0
                            && account.mWaiting.isEmpty();
            if (idle && filter.test(account.mProgram)) {
                long tokens = account.mBudget.beginReturn();
                account.mBusy = true;
                write(
                        account,
                        new Write(account.mBudget.afterReturn(tokens, nextWriter()), tokens));
            }
        }
    }
}
