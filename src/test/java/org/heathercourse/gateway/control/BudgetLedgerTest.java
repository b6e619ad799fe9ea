package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/**
 * Guards against programs that spend more than their budget, over gateways, losses and restarts.
 */
class BudgetLedgerTest {
    private static final long LIMIT = 1_000;
    private static final long MOST = 100;

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final FaultyRows mRows = new FaultyRows();
    private int mLedgers;

    private BudgetLedger ledger() {
        return new BudgetLedger(mRows, mExecutor, mTime.ticker(), "g" + ++mLedgers + "/");
    }

    private BudgetOutcome reserve(BudgetLedger ledger) {
        CompletableFuture<BudgetLedger.Grant> grant = ledger.reserve("w/p", LIMIT, MOST);
        for (int i = 0; i < 200 && !grant.isDone(); i++) {
            mExecutor.advance(20);
        }
        assertThat(grant).as("a turn waits without end").isDone();
        return grant.join().outcome();
    }

    /** A store whose replies get lost, whose calls fail, and that does writes late. */
    private static final class FaultyRows implements RowStore {
        private final MemoryRows mRows = new MemoryRows();
        private final List<RowTransaction> mLate = new ArrayList<>();
        private SplittableRandom mRandom;
        private int mLostReplies;
        private boolean mDown;
        private boolean mSilent;
        private int mCommits;

        @Override
        public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
            return mRows.read(table, part, fromKey);
        }

        @Override
        public CompletableFuture<StoredRow> read(RowKey key) {
            if (mSilent) {
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
            mCommits++;
            if (mSilent) {
                return new CompletableFuture<>();
            }
            if (mDown) {
                return unavailable();
            }
            int luck = mRandom == null ? 9 : mRandom.nextInt(10);
            if (luck == 0) {
                mLate.add(transaction);
                return lost();
            }
            if (luck == 1 && !mLate.isEmpty()) {
                mRows.commit(mLate.remove(0));
            }
            CompletableFuture<RowCommit> result = mRows.commit(transaction);
            if (luck == 2 || mLostReplies > 0) {
                mLostReplies--;
                return lost();
            }
            return result;
        }

        private static <T> CompletableFuture<T> unavailable() {
            return CompletableFuture.failedFuture(StoreException.unavailable("down", null));
        }

        private static <T> CompletableFuture<T> lost() {
            return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
        }
    }

    @Test
    void grantsUntilTheBudgetIsSpentAndNotBeyond() {
        BudgetLedger ledger = ledger();
        for (int i = 0; i < LIMIT / MOST; i++) {
            assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.GRANTED);
            ledger.settle("w/p", 0, true);
        }
        assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.EXHAUSTED);
    }

    @Test
    void fewWritesForManyTurns() {
        BudgetLedger ledger = ledger();
        for (int i = 0; i < LIMIT / MOST; i++) {
            reserve(ledger);
            ledger.settle("w/p", MOST / 2, true);
        }
        assertThat(mRows.mCommits).isLessThanOrEqualTo(4);
    }

    @Test
    void newOwnerCountsWhatTheDeadOneHadTaken() {
        BudgetLedger dead = ledger();
        reserve(dead);
        int granted = 0;
        BudgetLedger next = ledger();
        while (reserve(next) == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isBetween(1, (int) (LIMIT / MOST) - 1);
    }

    /** A program with a large budget must not end with 402 because a gateway died. */
    @Test
    void deadOwnerTakesFewTurnsOfLargeBudgetWithIt() {
        long largeLimit = 30 * MOST;
        BudgetLedger dead = ledger();
        dead.reserve("w/p", largeLimit, MOST).join();
        int granted = 0;
        BudgetLedger next = ledger();
        while (next.reserve("w/p", largeLimit, MOST).join().outcome() == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isGreaterThanOrEqualTo(26);
    }

    @Test
    void leavingOwnerGivesBackWhatIsNotInUse() {
        BudgetLedger leaving = ledger();
        reserve(leaving);
        leaving.returnUnusedTokens(program -> true);
        int granted = 0;
        BudgetLedger next = ledger();
        while (reserve(next) == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isEqualTo((int) (LIMIT / MOST) - 1);
    }

    @Test
    void lostReplyCountsOnce() {
        BudgetLedger ledger = ledger();
        mRows.mLostReplies = 1;
        int granted = 0;
        while (reserve(ledger) == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isEqualTo((int) (LIMIT / MOST));
    }

    @Test
    void turnIsToldSoonThatTheStoreIsDown() {
        mRows.mDown = true;
        long before = mTime.ticker().readMillis();
        assertThat(reserve(ledger())).isEqualTo(BudgetOutcome.UNAVAILABLE);
        assertThat(mTime.ticker().readMillis() - before).isLessThan(1_500);
    }

    /**
     * A gateway that asks the owner waits 350 ms. An owner that waits longer for the store is taken
     * for dead, and the requests of other programs on the link break with it.
     */
    @Test
    void ownerAnswersBeforeTheGatewayThatAsksGivesUp() {
        BudgetLedger ledger = ledger();
        mRows.mSilent = true;
        CompletableFuture<BudgetLedger.Grant> grant = ledger.reserve("w/p", LIMIT, MOST);
        mExecutor.advance(300);
        assertThat(grant).as("answered while the store is silent").isDone();
        assertThat(grant.join().outcome()).isEqualTo(BudgetOutcome.UNAVAILABLE);
    }

    @Test
    void chunkInHandServesTurnsWhileTheStoreIsDown() {
        BudgetLedger ledger = ledger();
        reserve(ledger);
        mRows.mDown = true;
        assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.GRANTED);
    }

    @Test
    void programHasBegunOnceTurnRan() {
        BudgetLedger ledger = ledger();
        assertThat(ledger.reserve("w/p", LIMIT, MOST).join().begun()).isFalse();
        ledger.settle("w/p", MOST, false);
        assertThat(ledger.reserve("w/p", LIMIT, MOST).join().begun()).isFalse();
        ledger.settle("w/p", 0, true);
        assertThat(ledger.reserve("w/p", LIMIT, MOST).join().begun()).isTrue();
        assertThat(reserveElsewhere().begun()).isTrue();
    }

    private BudgetLedger.Grant reserveElsewhere() {
        return ledger().reserve("w/p", LIMIT, MOST).join();
    }

    /** Several gateways believe to own the program; replies get lost, writes come late. */
    @Test
    void neverGrantsMoreThanTheBudgetOverAllGateways() {
        for (long seed = 1; seed <= 200; seed++) {
            assertThat(grantedTokens(seed)).as("seed %d", seed).isLessThanOrEqualTo(LIMIT);
        }
    }

    private long grantedTokens(long seed) {
        mRows.mRandom = new SplittableRandom(seed);
        SplittableRandom random = new SplittableRandom(seed);
        String program = "w/" + seed;
        List<BudgetLedger> ledgers = new ArrayList<>(List.of(ledger(), ledger(), ledger()));
        long usedTokens = 0;
        for (int turn = 0; turn < 60; turn++) {
            int which = random.nextInt(ledgers.size());
            CompletableFuture<BudgetLedger.Grant> grant =
                    ledgers.get(which).reserve(program, LIMIT, MOST);
            for (int i = 0; i < 200 && !grant.isDone(); i++) {
                mExecutor.advance(20);
            }
            if (grant.join().outcome() == BudgetOutcome.GRANTED) {
                long unusedTokens = random.nextLong(MOST + 1);
                usedTokens += MOST - unusedTokens;
                boolean dies = random.nextInt(12) == 0;
                if (dies) {
                    ledgers.set(which, ledger());
                } else {
                    ledgers.get(which).settle(program, unusedTokens, true);
                }
            }
            if (random.nextInt(10) == 0) {
                ledgers.get(which).returnUnusedTokens(p -> true);
                mExecutor.advance(20);
            }
        }
        return usedTokens;
    }
}
