package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.budget.BudgetRow;
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
 * Guards against programs that exceed their budget when several gateways reserve tokens, replies
 * are lost or gateways restart.
 */
class BudgetLedgerTest {
    private static final long LIMIT_TOKENS = 1_000;
    private static final long MAX_TURN_TOKENS = 100;

    /** A budget of which the chunk for four turns is a small part. */
    private static final long LARGE_LIMIT_TOKENS = 100 * MAX_TURN_TOKENS;

    /** Time in milliseconds after the end of a turn from which it counts with what it used. */
    private static final long SETTLE_MILLIS = 1_000;

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final FaultyRowStore mStore = new FaultyRowStore();
    private int mLedgerCount;

    private BudgetLedger createLedger() {
        return new BudgetLedger(mStore, mExecutor, mTime.ticker(), "g" + ++mLedgerCount + "/");
    }

    private BudgetOutcome reserve(BudgetLedger ledger) {
        return reserve(ledger, "w/p", MAX_TURN_TOKENS);
    }

    private BudgetOutcome reserve(BudgetLedger ledger, String program, long needTokens) {
        return reserve(ledger, program, LIMIT_TOKENS, needTokens);
    }

    private BudgetOutcome reserve(
            BudgetLedger ledger, String program, long limitTokens, long needTokens) {
        CompletableFuture<BudgetLedger.Grant> grant =
                ledger.reserve(program, limitTokens, needTokens);
        for (int i = 0; i < 200 && !grant.isDone(); i++) {
            mExecutor.advance(20);
        }
        assertThat(grant).as("reservation completes within 4 s of test time").isDone();
        return grant.join().outcome();
    }

    /** Returns how many further turns a gateway grants. */
    private int grantsOf(BudgetLedger ledger) {
        int granted = 0;
        while (reserve(ledger) == BudgetOutcome.GRANTED) {
            granted++;
        }
        return granted;
    }

    private long takenTokens() {
        long tokens = 0;
        for (int part = 0; part < BudgetLedger.TABLE_PARTS; part++) {
            for (StoredRow row : mStore.mRows.read("budget", "" + part, "").join().rows()) {
                tokens += JsonRowCodec.decode(row, BudgetRow.class).orElseThrow().takenTokens();
            }
        }
        return tokens;
    }

    /** A store that can lose replies, fail or not reply at all, and delay or hold writes. */
    private static final class FaultyRowStore implements RowStore {
        private final MemoryRows mRows = new MemoryRows();
        private final List<RowTransaction> mDelayedWrites = new ArrayList<>();
        private final Deque<Runnable> mHeldWrites = new ArrayDeque<>();
        private SplittableRandom mRandom;
        private int mLostReplies;
        private boolean mDown;
        private boolean mUnresponsive;
        private boolean mHoldsWrites;
        private int mCommitCount;

        @Override
        public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
            return mRows.read(table, part, fromKey);
        }

        @Override
        public CompletableFuture<StoredRow> read(RowKey key) {
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
            mCommitCount++;
            if (transaction.writes().stream().anyMatch(write -> isTooLong(write.key()))) {
                return outcomeUnknown();
            }
            if (mUnresponsive) {
                return new CompletableFuture<>();
            }
            if (mDown) {
                return unavailable();
            }
            if (mHoldsWrites) {
                CompletableFuture<RowCommit> reply = new CompletableFuture<>();
                mHeldWrites.add(() -> reply.complete(mRows.commit(transaction).join()));
                return reply;
            }
            int fault = mRandom == null ? 9 : mRandom.nextInt(10);
            if (fault == 0) {
                mDelayedWrites.add(transaction);
                return outcomeUnknown();
            }
            if (fault == 1 && !mDelayedWrites.isEmpty()) {
                mRows.commit(mDelayedWrites.remove(0));
            }
            CompletableFuture<RowCommit> result = mRows.commit(transaction);
            if (fault == 2 || mLostReplies > 0) {
                mLostReplies--;
                return outcomeUnknown();
            }
            return result;
        }

        /** Executes the writes that are held, and those that follow from their replies. */
        void executeHeldWrites() {
            while (!mHeldWrites.isEmpty()) {
                mHeldWrites.remove().run();
            }
        }

        private static boolean isTooLong(RowKey key) {
            return key.key().getBytes(StandardCharsets.UTF_8).length > RowKey.MAX_TEXT_BYTES;
        }

        private static <T> CompletableFuture<T> unavailable() {
            return CompletableFuture.failedFuture(StoreException.unavailable("down", null));
        }

        private static <T> CompletableFuture<T> outcomeUnknown() {
            return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
        }
    }

    @Test
    void grantsUntilBudgetIsSpent() {
        BudgetLedger ledger = createLedger();
        for (int i = 0; i < LIMIT_TOKENS / MAX_TURN_TOKENS; i++) {
            assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.GRANTED);
            ledger.settle("w/p", 0, true);
        }
        assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.EXHAUSTED);
    }

    @Test
    void batchesWritesOfManyTurns() {
        BudgetLedger ledger = createLedger();
        for (int i = 0; i < LIMIT_TOKENS / MAX_TURN_TOKENS; i++) {
            reserve(ledger, "w/p", LARGE_LIMIT_TOKENS, MAX_TURN_TOKENS);
            ledger.settle("w/p", MAX_TURN_TOKENS / 2, true);
        }
        assertThat(mStore.mCommitCount).isLessThanOrEqualTo(4);
    }

    /** Guards against a write for each of the turns that wait for the same store call. */
    @Test
    void oneWriteServesTurnsThatWaitTogether() {
        BudgetLedger ledger = createLedger();
        mStore.mHoldsWrites = true;
        List<CompletableFuture<BudgetLedger.Grant>> grants = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            grants.add(ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS));
        }
        mStore.executeHeldWrites();
        mStore.executeHeldWrites();
        assertThat(grants).allMatch(CompletableFuture::isDone);
        assertThat(mStore.mCommitCount).as("the first turn's and that of the others").isEqualTo(2);
    }

    /**
     * Guards against a 402 for a program that has used a part of its budget, because what its
     * settled turns left was lost with its owner (review/8).
     */
    @Test
    void settledTurnsOfDeadOwnerCountWithWhatTheyUsed() {
        long limitTokens = 576;
        long needTokens = 288;
        BudgetLedger deadOwner = createLedger();
        for (int turn = 0; turn < 2; turn++) {
            assertThat(reserve(deadOwner, "w/p", limitTokens, needTokens))
                    .isEqualTo(BudgetOutcome.GRANTED);
            deadOwner.settle("w/p", needTokens - 66, true);
        }
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(takenTokens()).isEqualTo(2 * 66);
        assertThat(reserve(createLedger(), "w/p", limitTokens, needTokens))
                .isEqualTo(BudgetOutcome.GRANTED);
    }

    /** Guards against the loss of more than the turn that ran when the owner died. */
    @Test
    void runningTurnOfDeadOwnerCountsWithItsMaximumAndNoOther() {
        BudgetLedger deadOwner = createLedger();
        reserve(deadOwner);
        mExecutor.advance(SETTLE_MILLIS);
        int granted = grantsOf(createLedger());
        assertThat(granted).isEqualTo((int) (LIMIT_TOKENS / MAX_TURN_TOKENS) - 1);
    }

    /** Guards against a 402 in one zone because the owner in another zone keeps unused tokens. */
    @Test
    void ownerOfAnotherZoneReceivesUnusedTokens() {
        BudgetLedger owner = createLedger();
        BudgetLedger otherZone = createLedger();
        assertThat(reserve(otherZone, "w/p", LIMIT_TOKENS)).isEqualTo(BudgetOutcome.GRANTED);
        otherZone.settle("w/p", LIMIT_TOKENS - 1, true);
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(reserve(owner, "w/p", LIMIT_TOKENS / 2)).isEqualTo(BudgetOutcome.GRANTED);
        owner.settle("w/p", LIMIT_TOKENS / 2 - 1, true);
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(reserve(otherZone, "w/p", LIMIT_TOKENS - 2)).isEqualTo(BudgetOutcome.GRANTED);
    }

    /** Guards against a return that takes tokens from a turn that begins at the same time. */
    @Test
    void turnThatBeginsDuringIdleReturnIsGranted() {
        BudgetLedger ledger = createLedger();
        reserve(ledger);
        ledger.settle("w/p", MAX_TURN_TOKENS, true);
        mStore.mHoldsWrites = true;
        mExecutor.advance(SETTLE_MILLIS);
        CompletableFuture<BudgetLedger.Grant> grant =
                ledger.reserve("w/p", LIMIT_TOKENS, LIMIT_TOKENS);
        mStore.executeHeldWrites();
        mStore.executeHeldWrites();
        assertThat(grant).isDone();
        assertThat(grant.join().outcome()).isEqualTo(BudgetOutcome.GRANTED);
    }

    /**
     * Guards against programs that get less than their budget after owners died, apart from the
     * turns that ran then and a small part of the rest.
     */
    @Test
    void deathsOfOwnersCostOnlyTheTurnsThatRan() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            String program = "w/d" + seed;
            BudgetLedger owner = createLedger();
            long spentTokens = 0;
            int deaths = 0;
            while (reserve(owner, program, MAX_TURN_TOKENS) == BudgetOutcome.GRANTED) {
                long usedTokens = random.nextLong(MAX_TURN_TOKENS + 1);
                if (random.nextInt(6) == 0) {
                    owner = createLedger();
                    spentTokens += MAX_TURN_TOKENS;
                    deaths++;
                } else {
                    owner.settle(program, MAX_TURN_TOKENS - usedTokens, true);
                    spentTokens += usedTokens;
                }
                mExecutor.advance(SETTLE_MILLIS);
            }
            long lostTokens = deaths * (LIMIT_TOKENS / 16);
            assertThat(spentTokens + lostTokens + MAX_TURN_TOKENS)
                    .as("seed %d", seed)
                    .isGreaterThan(LIMIT_TOKENS);
        }
    }

    @Test
    void newOwnerCountsTokensOfDeadOwner() {
        BudgetLedger deadOwner = createLedger();
        reserve(deadOwner);
        int granted = grantsOf(createLedger());
        assertThat(granted).isBetween(1, (int) (LIMIT_TOKENS / MAX_TURN_TOKENS) - 1);
    }

    /** Guards against a 402 for a program with a large budget because its owner died. */
    @Test
    void deadOwnerLosesFewTurnsOfLargeBudget() {
        long largeLimitTokens = 30 * MAX_TURN_TOKENS;
        BudgetLedger deadOwner = createLedger();
        deadOwner.reserve("w/p", largeLimitTokens, MAX_TURN_TOKENS).join();
        int granted = 0;
        BudgetLedger newOwner = createLedger();
        while (newOwner.reserve("w/p", largeLimitTokens, MAX_TURN_TOKENS).join().outcome()
                == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isGreaterThanOrEqualTo(26);
    }

    @Test
    void leavingOwnerReturnsUnusedTokens() {
        BudgetLedger leavingOwner = createLedger();
        reserve(leavingOwner);
        leavingOwner.returnUnusedTokens(program -> true);
        int granted = grantsOf(createLedger());
        assertThat(granted).isEqualTo((int) (LIMIT_TOKENS / MAX_TURN_TOKENS) - 1);
    }

    /** Guards against an exit before the store has the return of the unused tokens. */
    @Test
    void returnCompletesOnceStoreHasIt() {
        BudgetLedger ledger = createLedger();
        reserve(ledger);
        ledger.settle("w/p", MAX_TURN_TOKENS / 2, true);
        mStore.mHoldsWrites = true;
        CompletableFuture<Void> returned = ledger.returnUnusedTokens(program -> true);
        assertThat(returned).as("the store has not replied").isNotDone();
        mStore.executeHeldWrites();
        assertThat(returned).isCompleted();
        assertThat(takenTokens()).isEqualTo(MAX_TURN_TOKENS / 2);
    }

    /** Guards against the loss of a chunk whose write is under way when the return begins. */
    @Test
    void returnIncludesChunkOfPendingWrite() {
        BudgetLedger ledger = createLedger();
        mStore.mHoldsWrites = true;
        CompletableFuture<BudgetLedger.Grant> grant =
                ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS);
        mExecutor.advance(BudgetLedger.MAX_STORE_WAIT_MILLIS);
        assertThat(grant.join().outcome()).isEqualTo(BudgetOutcome.UNAVAILABLE);
        CompletableFuture<Void> returned = ledger.returnUnusedTokens(program -> true);
        assertThat(returned).as("the write is under way").isNotDone();
        mStore.executeHeldWrites();
        assertThat(returned).isCompleted();
        assertThat(takenTokens()).isZero();
    }

    /** Guards against the loss of tokens that a turn releases while others are returned. */
    @Test
    void returnIncludesTokensReleasedMeanwhile() {
        BudgetLedger ledger = createLedger();
        reserve(ledger);
        mStore.mHoldsWrites = true;
        CompletableFuture<Void> returned = ledger.returnUnusedTokens(program -> true);
        ledger.settle("w/p", MAX_TURN_TOKENS, false);
        mStore.executeHeldWrites();
        assertThat(returned).isCompleted();
        assertThat(takenTokens()).isZero();
    }

    /** Guards against a return that is given up because another gateway wrote the row before. */
    @Test
    void returnIsRepeatedAfterConflict() {
        BudgetLedger ledger = createLedger();
        reserve(ledger);
        ledger.settle("w/p", MAX_TURN_TOKENS, false);
        mStore.mHoldsWrites = true;
        CompletableFuture<Void> returned = ledger.returnUnusedTokens(program -> true);
        mStore.mHoldsWrites = false;
        BudgetLedger other = createLedger();
        reserve(other);
        other.returnUnusedTokens(program -> true);
        mStore.executeHeldWrites();
        assertThat(returned).isCompleted();
        assertThat(takenTokens()).as("the other gateway's turn").isEqualTo(MAX_TURN_TOKENS);
    }

    /** Guards against a program whose row the store rejects, and which is tried for ever. */
    @Test
    void programWithLongIdHasRowOfItsOwn() {
        String prefix = "w/" + "x".repeat(RowKey.MAX_TEXT_BYTES);
        BudgetLedger ledger = createLedger();
        assertThat(reserve(ledger, prefix + "1", LIMIT_TOKENS)).isEqualTo(BudgetOutcome.GRANTED);
        assertThat(reserve(ledger, prefix + "2", LIMIT_TOKENS)).isEqualTo(BudgetOutcome.GRANTED);
        assertThat(reserve(createLedger(), prefix + "1", LIMIT_TOKENS))
                .isEqualTo(BudgetOutcome.EXHAUSTED);
    }

    /** Guards against programs that stay in memory because the store does not reply for one. */
    @Test
    void evictsProgramsBehindOneWithPendingStoreCall() {
        BudgetLedger ledger = createLedger();
        mStore.mUnresponsive = true;
        ledger.reserve("w/pending", LIMIT_TOKENS, MAX_TURN_TOKENS);
        mStore.mUnresponsive = false;
        ledger.reserve("w/idle", LIMIT_TOKENS, MAX_TURN_TOKENS);
        mExecutor.advance(BudgetAccounts.IDLE_EVICTION_MILLIS + 1);
        ledger.reserve("w/new", LIMIT_TOKENS, MAX_TURN_TOKENS);
        assertThat(ledger.programCount()).isEqualTo(2);
    }

    /** Guards against a heap full of refused programs, whose names callers choose (review/7). */
    @Test
    void numberOfProgramsInMemoryIsBounded() {
        BudgetLedger ledger = createLedger();
        for (int i = 0; i < 3 * BudgetAccounts.MAX_PROGRAMS; i++) {
            assertThat(reserve(ledger, "w/refused" + i, LIMIT_TOKENS + 1))
                    .isEqualTo(BudgetOutcome.EXHAUSTED);
        }
        assertThat(ledger.programCount()).isEqualTo(BudgetAccounts.MAX_PROGRAMS);
    }

    /** Guards against refused programs that displace the tokens of one that goes on. */
    @Test
    void programWithTokensIsEvictedAfterThoseWithout() {
        BudgetLedger ledger = createLedger();
        assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.GRANTED);
        for (int i = 0; i < 2 * BudgetAccounts.MAX_PROGRAMS; i++) {
            reserve(ledger, "w/refused" + i, LIMIT_TOKENS + 1);
        }
        ledger.settle("w/p", MAX_TURN_TOKENS, true);
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(takenTokens()).as("the turn's tokens were known and returned").isZero();
    }

    /** Guards against more programs than allowed while the store does not reply. */
    @Test
    void refusesProgramsBeyondTheBoundWhileAllWaitForTheStore() {
        BudgetLedger ledger = createLedger();
        mStore.mUnresponsive = true;
        for (int i = 0; i < BudgetAccounts.MAX_PROGRAMS; i++) {
            ledger.reserve("w/pending" + i, LIMIT_TOKENS, MAX_TURN_TOKENS);
        }
        assertThat(reserve(ledger)).isEqualTo(BudgetOutcome.UNAVAILABLE);
        assertThat(ledger.programCount()).isEqualTo(BudgetAccounts.MAX_PROGRAMS);
        mStore.mUnresponsive = false;
    }

    @Test
    void writeWithLostReplyCountsOnce() {
        BudgetLedger ledger = createLedger();
        mStore.mLostReplies = 1;
        int granted = 0;
        while (reserve(ledger) == BudgetOutcome.GRANTED) {
            granted++;
        }
        assertThat(granted).isEqualTo((int) (LIMIT_TOKENS / MAX_TURN_TOKENS));
    }

    @Test
    void failsTurnQuicklyWhileStoreIsDown() {
        mStore.mDown = true;
        long before = mTime.ticker().readMillis();
        assertThat(reserve(createLedger())).isEqualTo(BudgetOutcome.UNAVAILABLE);
        assertThat(mTime.ticker().readMillis() - before).isLessThan(1_500);
    }

    /**
     * A request to the owner times out after 350 ms. An owner that waits longer for the store is
     * taken for dead, which also fails the requests of other programs on the link.
     */
    @Test
    void ownerRepliesBeforeRequestTimesOut() {
        BudgetLedger ledger = createLedger();
        mStore.mUnresponsive = true;
        CompletableFuture<BudgetLedger.Grant> grant =
                ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS);
        mExecutor.advance(300);
        assertThat(grant).as("completes while the store does not reply").isDone();
        assertThat(grant.join().outcome()).isEqualTo(BudgetOutcome.UNAVAILABLE);
    }

    @Test
    void grantsFromAcquiredChunkWhileStoreIsDown() {
        BudgetLedger ledger = createLedger();
        reserve(ledger, "w/p", LARGE_LIMIT_TOKENS, MAX_TURN_TOKENS);
        mStore.mDown = true;
        assertThat(reserve(ledger, "w/p", LARGE_LIMIT_TOKENS, MAX_TURN_TOKENS))
                .isEqualTo(BudgetOutcome.GRANTED);
    }

    @Test
    void programHasBegunAfterTurnRan() {
        BudgetLedger ledger = createLedger();
        assertThat(ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS).join().begun()).isFalse();
        ledger.settle("w/p", MAX_TURN_TOKENS, false);
        assertThat(ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS).join().begun()).isFalse();
        ledger.settle("w/p", 0, true);
        assertThat(ledger.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS).join().begun()).isTrue();
        assertThat(reserveInNewLedger().begun()).isTrue();
    }

    private BudgetLedger.Grant reserveInNewLedger() {
        return createLedger().reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS).join();
    }

    /** Several gateways act as owner of the program while replies are lost and writes delayed. */
    @Test
    void grantsNoMoreThanBudgetOverAllGateways() {
        for (long seed = 1; seed <= 200; seed++) {
            assertThat(usedTokensOfRun(seed)).as("seed %d", seed).isLessThanOrEqualTo(LIMIT_TOKENS);
        }
    }

    private long usedTokensOfRun(long seed) {
        mStore.mRandom = new SplittableRandom(seed);
        SplittableRandom random = new SplittableRandom(seed);
        String program = "w/" + seed;
        List<BudgetLedger> ledgers =
                new ArrayList<>(List.of(createLedger(), createLedger(), createLedger()));
        long usedTokens = 0;
        for (int turn = 0; turn < 60; turn++) {
            int index = random.nextInt(ledgers.size());
            CompletableFuture<BudgetLedger.Grant> grant =
                    ledgers.get(index).reserve(program, LIMIT_TOKENS, MAX_TURN_TOKENS);
            for (int i = 0; i < 200 && !grant.isDone(); i++) {
                mExecutor.advance(20);
            }
            if (grant.join().outcome() == BudgetOutcome.GRANTED) {
                long unusedTokens = random.nextLong(MAX_TURN_TOKENS + 1);
                usedTokens += MAX_TURN_TOKENS - unusedTokens;
                boolean dies = random.nextInt(12) == 0;
                if (dies) {
                    ledgers.set(index, createLedger());
                } else {
                    ledgers.get(index).settle(program, unusedTokens, true);
                }
            }
            if (random.nextInt(10) == 0) {
                ledgers.get(index).returnUnusedTokens(p -> true);
                mExecutor.advance(20);
            }
        }
        return usedTokens;
    }
}
