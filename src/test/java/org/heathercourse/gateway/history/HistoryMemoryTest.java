package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heathercourse.core.history.History;
import org.junit.jupiter.api.Test;

/**
 * Guards against a heap full of histories that are written or read at the same time, which ends the
 * process (review/6).
 */
class HistoryMemoryTest {
    private static final int LARGE_BYTES = 1_000_000;

    /** Number of callers that send a turn at the same moment. */
    private static final int CROWD = 48;

    /** Calls whose content a heap of 72 MB bears beside what is counted for callers. */
    private static final int MAX_CALLS = 16;

    private final HistoryGateways mGateways = new HistoryGateways();
    private final FaultyTurnStore mStore = mGateways.mStore;
    private final StoreTurnHistory mGateway = mGateways.create();

    private CompletableFuture<Void> append(String turnId, int bytes) {
        return mGateway.append(
                "w",
                turnId,
                null,
                new byte[bytes],
                new byte[0],
                HistoryGateways.RETENTION_MILLIS,
                HistoryGateways.MAX_WAIT_MILLIS);
    }

    private List<CompletableFuture<Void>> appendCrowd(int bytes) {
        List<CompletableFuture<Void>> turns = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            turns.add(append("t" + i, bytes));
        }
        mGateways.mExecutor.advance(1);
        return turns;
    }

    @Test
    void fewLargeTurnsAreWrittenAtTheSameTime() {
        mStore.mUnresponsive = true;
        List<CompletableFuture<Void>> turns = appendCrowd(LARGE_BYTES);
        assertThat(mStore.mCommitCount).isBetween(1, 2);
        mStore.mUnresponsive = false;
        turns.forEach(turn -> mGateways.await(turn).join());
        assertThat(mGateways.read(mGateways.create(), "t" + (CROWD - 1))).isPresent();
    }

    /** Guards against ordinary turns that wait behind a crowd of large ones. */
    @Test
    void smallTurnsDoNotWaitForLargeOnes() {
        mStore.mUnresponsive = true;
        appendCrowd(LARGE_BYTES);
        mStore.mUnresponsive = false;
        CompletableFuture<Void> small = append("small", 2_000);
        mGateways.mExecutor.advance(1);
        assertThat(small).isCompleted();
    }

    /** Guards against the writes of turns whose callers have left, and their memory. */
    @Test
    void cancelledTurnThatWaitsIsNotWritten() {
        mStore.mUnresponsive = true;
        List<CompletableFuture<Void>> turns = appendCrowd(LARGE_BYTES);
        turns.subList(2, CROWD).forEach(turn -> turn.cancel(false));
        mStore.mUnresponsive = false;
        turns.subList(0, 2).forEach(turn -> mGateways.await(turn).join());
        mGateways.advance(2_000);
        assertThat(mStore.rows("turn")).as("rows of the turns that had begun").hasSize(2);
    }

    @Test
    void readsUnderWayAreBoundedOverAllTurns() {
        append("t", 2_000);
        mStore.mUnresponsive = true;
        mStore.mReadCount = 0;
        for (int i = 0; i < CROWD; i++) {
            mGateway.read("w", "unknown" + i, HistoryGateways.ADMIT_ALL);
        }
        mGateways.mExecutor.advance(1);
        assertThat(mStore.mReadCount).isBetween(1, MAX_CALLS);
    }

    /** Guards against histories that are read whole before anybody knows whether they fit. */
    @Test
    void historyIsAdmittedBeforeItsSegmentsAreRead() {
        append("t1", LARGE_BYTES).join();
        History parent = mGateways.read(mGateway, "t1").orElseThrow();
        mGateways.append(mGateway, "t2", parent, "in", "out\n").join();
        mStore.mReadCount = 0;
        List<Long> asked = new ArrayList<>();
        CompletableFuture<Optional<History>> read =
                mGateways.await(
                        mGateways
                                .create()
                                .read(
                                        "w",
                                        "t2",
                                        bytes -> {
                                            asked.add(bytes);
                                            return CompletableFuture.completedFuture(false);
                                        }));
        assertThat(asked).containsExactly(LARGE_BYTES + 6L);
        assertThat(mStore.mReadCount).as("the turn's own row").isEqualTo(1);
        assertThatThrownBy(read::join)
                .isInstanceOf(CompletionException.class)
                .hasCauseInstanceOf(HistoryNotAdmittedException.class);
    }
}
