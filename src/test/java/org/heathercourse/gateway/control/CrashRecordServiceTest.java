package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
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
 * Guards against crashes that other gateways do not learn of because writes conflict, replies are
 * lost or the store is down.
 */
class CrashRecordServiceTest {
    private static final long RUN_MILLIS = 5;

    /** Difference between the clocks of two gateways, in milliseconds, that may hide an order. */
    private static final long CLOCK_TOLERANCE_MILLIS = 500;

    private static final RequestDigest KILLER = new RequestDigest("killer");
    private static final RequestDigest SOUND = new RequestDigest("sound");

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final FaultyRowStore mStore = new FaultyRowStore();
    private final CrashRecordService mFirst = createService();
    private final CrashRecordService mSecond = createService();

    private CrashRecordService createService() {
        return new CrashRecordService(
                mStore, mExecutor, mTime.suspendAwareClock(), new SplittableRandom(1));
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 10) {
            mExecutor.advance(10);
        }
    }

    /** Records a crash of a run that began after all crashes before it, by any gateway's clock. */
    private void crash(CrashRecordService service, RequestDigest digest, String target) {
        mTime.advanceMillis(CLOCK_TOLERANCE_MILLIS + RUN_MILLIS);
        service.recordCrash(digest, target, RUN_MILLIS);
    }

    private void readRow(CrashRecordService service) {
        service.onRow(mStore.mRows.read(CrashRecordService.ROW).join());
    }

    /** Returns what a gateway that starts now reads. */
    private CrashTable storedTable() {
        CrashRecordService started = createService();
        readRow(started);
        return started.table();
    }

    /** A store that can be down, lose replies of writes, and delay writes. */
    private static final class FaultyRowStore implements RowStore {
        private final MemoryRows mRows = new MemoryRows();
        private final List<RowTransaction> mDelayedWrites = new ArrayList<>();
        private SplittableRandom mRandom;
        private boolean mDown;
        private int mLostReplies;
        private int mCommitCount;

        @Override
        public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
            return mRows.read(table, part, fromKey);
        }

        @Override
        public CompletableFuture<StoredRow> read(RowKey key) {
            return mRows.read(key);
        }

        @Override
        public CompletableFuture<RowPage> changes(String table, long after, long waitMillis) {
            return mRows.changes(table, after, waitMillis);
        }

        @Override
        public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
            mCommitCount++;
            int fault = mRandom == null ? 9 : mRandom.nextInt(10);
            if (fault == 0) {
                mDelayedWrites.add(transaction);
            }
            if (mDown || fault == 0) {
                return CompletableFuture.failedFuture(StoreException.unavailable("down", null));
            }
            if (fault == 1 && !mDelayedWrites.isEmpty()) {
                mRows.commit(mDelayedWrites.remove(0));
            }
            CompletableFuture<RowCommit> result = mRows.commit(transaction);
            if (fault == 2 || mLostReplies-- > 0) {
                return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
            }
            return result;
        }
    }

    /** Crashes seen by different gateways count together, without a read between their writes. */
    @Test
    void countsCrashesOfAllGateways() {
        crash(mFirst, KILLER, "a");
        assertThat(mFirst.table().crashCount(KILLER)).as("counts at once").isEqualTo(1);
        crash(mSecond, KILLER, "b");
        crash(mSecond, KILLER, "c");
        advance(CrashRecordService.FLUSH_DELAY_MILLIS + 50);
        assertThat(storedTable().isQuarantined(KILLER)).isTrue();
        readRow(mFirst);
        readRow(mSecond);
        assertThat(mFirst.isQuarantined(KILLER) && mSecond.isQuarantined(KILLER)).isTrue();
    }

    /** Guards against one write for each of the many requests that ran on an ended target. */
    @Test
    void writesChangesTogetherAndNoneThatChangeNothing() {
        crash(mFirst, KILLER, "a");
        crash(mFirst, SOUND, "a");
        mFirst.recordSuccess(SOUND);
        mFirst.recordSuccess(new RequestDigest("unknown"));
        advance(1_000);
        crash(mFirst, KILLER, "a");
        mFirst.recordSuccess(SOUND);
        advance(1_000);
        assertThat(mStore.mCommitCount).isEqualTo(1);
        assertThat(storedTable().contains(SOUND)).isFalse();
    }

    @Test
    void successAtAnotherGatewayAndOperatorClear() {
        crash(mFirst, KILLER, "a");
        crash(mFirst, SOUND, "a");
        advance(200);
        readRow(mSecond);
        mSecond.recordSuccess(SOUND);
        mSecond.clear(KILLER);
        advance(200);
        readRow(mFirst);
        assertThat(mFirst.table().isEmpty()).isTrue();
    }

    @Test
    void ignoresOlderRow() {
        StoredRow absent = StoredRow.absent(CrashRecordService.ROW);
        crash(mFirst, KILLER, "a");
        advance(200);
        mFirst.onRow(absent);
        assertThat(mFirst.table().crashCount(KILLER)).isEqualTo(1);
    }

    /** A row that was removed and made again has a lower version than the expected one. */
    @Test
    void writesAgainAfterRowWasRemoved() {
        crash(mFirst, SOUND, "a");
        advance(200);
        mStore.mRows.commit(
                RowTransaction.builder()
                        .remove(CrashRecordService.ROW, RowTransaction.ANY_VERSION)
                        .build());
        crash(mFirst, KILLER, "b");
        advance(500);
        assertThat(storedTable().crashCount(KILLER)).isEqualTo(1);
    }

    @Test
    void writeWithLostReplyIsRepeatedAndCountsOnce() {
        mStore.mLostReplies = 1;
        crash(mFirst, KILLER, "a");
        advance(200);
        crash(mSecond, KILLER, "b");
        advance(CrashRecordService.RETRY_DELAY_MILLIS + 300);
        assertThat(storedTable().crashCount(KILLER)).isEqualTo(2);
        assertThat(mFirst.table().crashCount(KILLER)).isEqualTo(2);
    }

    @Test
    void keepsBoundedChangesWhileStoreIsDown() {
        mStore.mDown = true;
        for (int i = 0; i < 2 * CrashRecordService.MAX_PENDING_CHANGES; i++) {
            crash(mFirst, new RequestDigest("d" + i), "a");
        }
        mTime.advanceMillis(1);
        crash(mFirst, KILLER, "a");
        crash(mFirst, KILLER, "b");
        crash(mFirst, KILLER, "c");
        advance(10_000);
        assertThat(mFirst.isQuarantined(KILLER)).as("counts here").isTrue();
        assertThat(mFirst.pendingChanges()).isEqualTo(CrashRecordService.MAX_PENDING_CHANGES);
        assertThat(mStore.mCommitCount).as("writes tried in 10 s").isBetween(5, 11);
        mStore.mDown = false;
        advance(CrashRecordService.RETRY_DELAY_MILLIS + 50);
        assertThat(storedTable().isQuarantined(KILLER)).isTrue();
        assertThat(mFirst.pendingChanges()).isZero();
    }

    @Test
    void quarantineEndsWithoutFurtherRows() {
        crash(mFirst, KILLER, "a");
        crash(mFirst, KILLER, "b");
        crash(mFirst, KILLER, "c");
        advance(200);
        mTime.advanceMillis(CrashTable.EXPIRY_MILLIS - 201);
        assertThat(mFirst.isQuarantined(KILLER)).isTrue();
        mTime.advanceMillis(1);
        assertThat(mFirst.isQuarantined(KILLER)).isFalse();
        readRow(mFirst);
        assertThat(mFirst.table().isEmpty()).isTrue();
    }

    /**
     * Each crash reaches the store while replies are lost, writes delayed and gateways conflict.
     */
    @Test
    void losesNoCrashUnderRandomFaults() {
        for (long seed = 1; seed <= 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            mStore.mRandom = random;
            List<CrashRecordService> gateways =
                    List.of(createService(), createService(), createService());
            RequestDigest digest = new RequestDigest("seed" + seed);
            for (int crash = 0; crash < 6; crash++) {
                crash(gateways.get(random.nextInt(gateways.size())), digest, digest + "/" + crash);
                readRow(gateways.get(random.nextInt(gateways.size())));
                advance(random.nextLong(300));
            }
            advance(30_000);
            assertThat(storedTable().crashCount(digest)).as("seed %d", seed).isEqualTo(6);
        }
    }
}
