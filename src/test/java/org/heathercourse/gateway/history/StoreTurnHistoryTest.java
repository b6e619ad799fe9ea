package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.history.History;
import org.heathercourse.core.history.HistoryTooLargeException;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowTransaction;
import org.junit.jupiter.api.Test;

/**
 * Guards against histories that are lost, mixed up or reported as absent while the store fails, and
 * against turns that count as durable and are not.
 */
class StoreTurnHistoryTest {
    private final HistoryGateways mGateways = new HistoryGateways();
    private final FaultyTurnStore mStore = mGateways.mStore;
    private final StoreTurnHistory mGateway = mGateways.create();

    private static Throwable failure(CompletableFuture<?> call) {
        assertThat(call).isCompletedExceptionally();
        return call.handle((value, error) -> error).join();
    }

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private CompletableFuture<Void> appendFirst(String turnId, String input) {
        return mGateways.await(mGateways.append(mGateway, turnId, null, input, "out\n"));
    }

    // Reads

    @Test
    void anotherGatewayContinuesTurn() {
        appendFirst("t1", "in1").join();
        StoreTurnHistory other = mGateways.create();
        History parent = mGateways.read(other, "t1").orElseThrow();
        mGateways.append(other, "t2", parent, "in2", "a\nb\n").join();
        assertThat(mGateways.text(mGateways.create(), "t2")).isEqualTo("in1out\nin2a\nb\n");
        assertThat(mGateways.text(mGateways.create(), "t1")).isEqualTo("in1out\n");
    }

    @Test
    void unknownTurnIsAbsent() {
        assertThat(mGateways.text(mGateway, "t1")).isEqualTo("absent");
    }

    /** Guards against access to the turns of other workspaces, also with crafted ids. */
    @Test
    void turnOfOtherWorkspaceIsAbsent() {
        mGateway.append("a/b", "c", null, bytes(5, 1), bytes(5, 2), 60_000, 1_000).join();
        assertThat(mGateway.read("a/b", "c", HistoryGateways.ADMIT_ALL).join()).isPresent();
        assertThat(mGateway.read("a", "b/c", HistoryGateways.ADMIT_ALL).join()).isEmpty();
        assertThat(mGateway.read("", "a/b/c", HistoryGateways.ADMIT_ALL).join()).isEmpty();
        assertThat(mGateway.read("w", "c", HistoryGateways.ADMIT_ALL).join()).isEmpty();
    }

    @Test
    void turnWithLongIdIsKept() {
        String prefix = "x".repeat(16_000);
        mGateways.append(mGateway, prefix + 1, null, "one", "").join();
        mGateways.append(mGateway, prefix + 2, null, "two", "").join();
        assertThat(mGateways.text(mGateways.create(), prefix + 1)).isEqualTo("one");
    }

    /** Guards against a false 404 while the store cannot be reached. */
    @Test
    void readFailsWhileStoreIsDown() {
        appendFirst("t1", "in").join();
        StoreTurnHistory other = mGateways.create();
        mStore.mDown = true;
        assertThat(failure(mGateways.await(other.read("w", "t1", HistoryGateways.ADMIT_ALL))))
                .isInstanceOf(StoreException.class);
        mStore.mDown = false;
        mStore.mUnresponsive = true;
        assertThat(failure(mGateways.await(other.read("w", "t1", HistoryGateways.ADMIT_ALL))))
                .isInstanceOf(StoreException.class);
    }

    /** Guards against a false 404 for a row that another program wrote or that is damaged. */
    @Test
    void readOfUndecodableRowFails() {
        appendFirst("t1", "in").join();
        RowKey key = TurnKeys.turnRow(TurnKeys.turn("w", "t1"));
        byte[] value = mStore.mRows.read(key).join().value();
        byte[] damaged = value.clone();
        damaged[damaged.length - 1] ^= 1;
        for (byte[] content :
                new byte[][] {{}, {1, 2}, damaged, Arrays.copyOf(value, value.length - 1)}) {
            mStore.mRows.commit(RowTransaction.put(key, RowTransaction.ANY_VERSION, content));
            assertThat(failure(mGateways.create().read("w", "t1", HistoryGateways.ADMIT_ALL)))
                    .as("content of %d bytes", content.length)
                    .isInstanceOf(StoreException.class);
        }
    }

    /** Guards against a history with a gap, and against a false 404 for it. */
    @Test
    void readWithoutBaseFails() {
        mGateways.turn(mGateway, "t1", null, bytes(40_000, 1));
        mGateways.turn(mGateway, "t2", "t1", bytes(40_000, 2));
        RowKey base = TurnKeys.turnRow(TurnKeys.turn("w", "t1"));
        mStore.mRows.commit(RowTransaction.builder().remove(base, -1).build());
        assertThat(failure(mGateways.create().read("w", "t2", HistoryGateways.ADMIT_ALL)))
                .isInstanceOf(StoreException.class);
    }

    @Test
    void turnIsAbsentAfterItsRetention() {
        appendFirst("t1", "in").join();
        mGateways.advance(HistoryGateways.RETENTION_MILLIS);
        assertThat(mGateways.text(mGateways.create(), "t1")).isEqualTo("inout\n");
        mGateways.advance(10 * HistoryGateways.RETENTION_MILLIS);
        assertThat(mGateways.text(mGateways.create(), "t1")).isEqualTo("absent");
        assertThat(mGateways.text(mGateway, "t1")).as("cached row").isEqualTo("absent");
    }

    @Test
    void readsOwnTurnWithoutStore() {
        appendFirst("t1", "in").join();
        int readCount = mStore.mReadCount;
        assertThat(mGateways.text(mGateway, "t1")).isEqualTo("inout\n");
        assertThat(mStore.mReadCount).isEqualTo(readCount);
    }

    @Test
    void tooLargeHistoryHasItsOwnFailure() {
        byte[] input = bytes(4 * 1024 * 1024, 1);
        mGateways.turn(mGateway, "t1", null, input);
        mGateways.turn(mGateway, "t2", "t1", input);
        assertThat(mGateways.read(mGateways.create(), "t2")).isPresent();
        mGateways.turn(mGateway, "t3", "t2", new byte[] {1});
        Throwable failure =
                failure(mGateways.await(mGateway.read("w", "t3", HistoryGateways.ADMIT_ALL)));
        assertThat(failure).isInstanceOf(HistoryTooLargeException.class);
        assertThat(((HistoryTooLargeException) failure).kind())
                .isEqualTo(ErrorKind.PAYLOAD_TOO_LARGE);
    }

    // Writes

    /** Guards against a turn that is aborted, or counts as another's, after a lost reply. */
    @Test
    void writeWithLostReplyIsRecognized() {
        mStore.mLostReplies = 1;
        assertThat(appendFirst("t1", "in")).isCompleted();
        assertThat(mStore.mCommitCount).isEqualTo(2);
        assertThat(mGateways.text(mGateways.create(), "t1")).isEqualTo("inout\n");
    }

    /** A large turn whose reply is lost must not be read in full to find out whose it is. */
    @Test
    void largeWriteWithLostReplyIsRecognizedByWriter() {
        byte[] input = bytes(200_000, 1);
        mStore.mLostReplies = 1;
        mGateways.turn(mGateway, "t1", null, input);
        assertThat(mStore.mReadCount).isZero();
        assertThat(mGateways.read(mGateways.create(), "t1").orElseThrow().body()).isEqualTo(input);
    }

    /** Guards against a late write that changes a turn that others have continued. */
    @Test
    void delayedWriteChangesNothing() {
        mStore.mDelayedNext = 2;
        assertThat(appendFirst("t1", "in")).isCompleted();
        RowKey key = TurnKeys.turnRow(TurnKeys.turn("w", "t1"));
        long version = mStore.mRows.read(key).join().version();
        mStore.executeDelayedWrites();
        assertThat(mStore.mRows.read(key).join().version()).isEqualTo(version);
        assertThat(mStore.rows(TurnKeys.EXPIRY_TABLE)).hasSize(1);
    }

    @Test
    void writeIsRepeatedUntilStoreIsBack() {
        mStore.mDown = true;
        CompletableFuture<Void> append = mGateways.append(mGateway, "t1", null, "in", "out\n");
        mGateways.advance(9_000);
        assertThat(append).isNotDone();
        assertThat(mStore.mCommitCount).as("calls that cost and gain nothing").isLessThan(20);
        mStore.mDown = false;
        mGateways.advance(1_000);
        assertThat(append).isCompleted();
        assertThat(mGateways.text(mGateways.create(), "t1")).isEqualTo("inout\n");
    }

    /** Guards against a response that is completed though its turn may not be durable. */
    @Test
    void unconfirmedWriteFails() {
        mStore.mDown = true;
        CompletableFuture<Void> append = mGateways.append(mGateway, "t1", null, "in", "out\n");
        mGateways.advance(HistoryGateways.MAX_WAIT_MILLIS);
        assertThat(failure(append)).isInstanceOf(StoreException.class);
        int commitCount = mStore.mCommitCount;
        mGateways.advance(HistoryGateways.MAX_WAIT_MILLIS);
        assertThat(mStore.mCommitCount).as("not repeated any more").isEqualTo(commitCount);
    }

    /** Guards against a response that waits for the whole timeout of a call without a reply. */
    @Test
    void writeWithoutReplyIsRepeatedEarly() {
        mStore.mUnansweredNext = 1;
        CompletableFuture<Void> append = mGateways.append(mGateway, "t1", null, "in", "out\n");
        assertThat(append).isNotDone();
        mGateways.mExecutor.advance(StoreCalls.REPEAT_MILLIS);
        assertThat(append).isCompleted();
    }

    /** Guards against two responses of which only one is the history of later turns. */
    @Test
    void secondTurnWithSameIdIsNotDurable() {
        appendFirst("t1", "first").join();
        StoreTurnHistory other = mGateways.create();
        Throwable failure = failure(mGateways.append(other, "t1", null, "second", "out\n"));
        assertThat(failure).isInstanceOf(HeathercourseException.class);
        assertThat(((HeathercourseException) failure).kind()).isEqualTo(ErrorKind.CONFLICT);
        assertThat(((HeathercourseException) failure).notRun()).isFalse();
        assertThat(mGateways.text(other, "t1")).isEqualTo("firstout\n");
    }

    @Test
    void secondTurnWithSameContentIsDurable() {
        appendFirst("t1", "same").join();
        assertThat(mGateways.append(mGateways.create(), "t1", null, "same", "out\n")).isCompleted();
    }

    // Long chains

    /** Guards against rows and transactions that the store rejects. */
    @Test
    void largeInputTakesSeveralRows() {
        byte[] input = bytes(4 * 1024 * 1024, 1);
        mGateways.turn(mGateway, "t1", null, input);
        StoreTurnHistory other = mGateways.create();
        assertThat(mGateways.read(other, "t1").orElseThrow().body()).isEqualTo(input);
        mGateways.turn(other, "t2", "t1", new byte[] {7});
        byte[] body = mGateways.read(mGateways.create(), "t2").orElseThrow().body();
        assertThat(body).hasSize(input.length + 1).startsWith(input).endsWith(7);
        assertThat(mStore.rows(TurnKeys.CONTINUATION_TABLE)).hasSize(68);
    }

    /** Guards against a row that consists of continuations of two writers. */
    @Test
    void largeTurnOfTwoWritersIsThatOfTheFirst() {
        // So large that the continuations take several transactions.
        byte[] first = bytes(1_000_000, 1);
        byte[] second = bytes(1_000_000, 2);
        mGateways.turn(mGateway, "t1", null, first);
        CompletableFuture<Void> append =
                mGateways.create().append("w", "t1", null, second, new byte[0], 60_000, 1_000);
        assertThat(append).isCompletedExceptionally();
        assertThat(mGateways.read(mGateways.create(), "t1").orElseThrow().body()).isEqualTo(first);
    }

    @Test
    void readWithoutContinuationFails() {
        mGateways.turn(mGateway, "t1", null, bytes(200_000, 1));
        RowKey continuation = mStore.rows(TurnKeys.CONTINUATION_TABLE).get(1).key();
        mStore.mRows.commit(RowTransaction.builder().remove(continuation, -1).build());
        assertThat(failure(mGateways.create().read("w", "t1", HistoryGateways.ADMIT_ALL)))
                .isInstanceOf(StoreException.class);
    }

    /** Guards against writes whose bytes grow with the square of the length of the chain. */
    @Test
    void longChainIsReadAndWrittenWithFewBytes() {
        int turns = 63;
        int turnBytes = 1_400_000 / turns;
        byte[] body = new byte[0];
        for (int i = 1; i <= turns; i++) {
            byte[] input = bytes(turnBytes, i);
            mGateways.turn(mGateways.create(), "t" + i, i == 1 ? null : "t" + (i - 1), input);
            body = Arrays.copyOf(body, body.length + turnBytes);
            System.arraycopy(input, 0, body, body.length - turnBytes, turnBytes);
        }
        assertThat(mStore.mCommitCount).as("one write for each turn").isEqualTo(turns);
        assertThat(mStore.mWrittenBytes).isLessThan(5L * body.length / 2);
        assertThat(mGateways.read(mGateways.create(), "t63").orElseThrow().body()).isEqualTo(body);
    }

    @Test
    void shortChainIsReadAtOnce() {
        for (int i = 1; i <= 12; i++) {
            mGateways.turn(mGateway, "t" + i, i == 1 ? null : "t" + (i - 1), bytes(2_500, i));
        }
        int readCount = mStore.mReadCount;
        mGateways.read(mGateways.create(), "t12").orElseThrow();
        assertThat(mStore.mReadCount).isEqualTo(readCount + 1);
    }

    // Availability

    /** Guards against turns that run while their end cannot be made durable. */
    @Test
    void isUnavailableAfterSilenceUntilStoreReplies() {
        assertThat(mGateway.isAvailable()).isTrue();
        mStore.mDown = true;
        mGateway.read("w", "t1", HistoryGateways.ADMIT_ALL);
        assertThat(mGateway.isAvailable()).as("one failed call").isTrue();
        mGateways.advance(StoreAvailability.MAX_SILENCE_MILLIS);
        assertThat(mGateway.isAvailable()).isFalse();
        mGateways.advance(30_000);
        assertThat(mGateway.isAvailable()).isFalse();
        mStore.mDown = false;
        mGateways.mExecutor.advance(StoreAvailability.PROBE_INTERVAL_MILLIS);
        assertThat(mGateway.isAvailable()).as("found out without a call").isTrue();
        int readCount = mStore.mReadCount;
        mGateways.advance(10_000);
        assertThat(mStore.mReadCount).as("no probes while available").isEqualTo(readCount);
    }

    /** Guards against refusals of turns because nothing was written for a while. */
    @Test
    void staysAvailableWithoutCalls() {
        mGateways.advance(600_000);
        assertThat(mGateway.isAvailable()).isTrue();
        mStore.mLostReplies = 1;
        mGateways.append(mGateway, "t1", null, "in", "out\n");
        assertThat(mGateway.isAvailable()).isTrue();
        Optional<History> history = mGateways.read(mGateway, "t1");
        assertThat(new String(history.orElseThrow().body(), StandardCharsets.UTF_8))
                .isEqualTo("inout\n");
        mGateways.advance(5_000);
        assertThat(mGateway.isAvailable()).isTrue();
    }
}
