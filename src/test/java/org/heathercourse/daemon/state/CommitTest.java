package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.program.CallState;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Commits under lost replies, crashes, conflicts and outages, and compaction into snapshots. */
class CommitTest {
    private static final ProgramId P = new ProgramId("p1");
    private static final ShardId SHARD = ShardId.of(P, 4);

    private final Fleet mFleet = new Fleet(4);

    private StateEngine start() {
        mFleet.add("a", 1);
        mFleet.add("b", 1);
        mFleet.runSeconds(4);
        StateEngine owner = mFleet.owner(P);
        owner.append(P, List.of(Fleet.started(P, 1_000, 10)));
        Fleet.flush(owner);
        return owner;
    }

    /** Guards against records that are written twice or lost after a lost reply or request. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostReplyIsResolvedByReadingBack(boolean afterEffect) {
        StateEngine owner = start();
        String vm = owner.self().vm().value();
        if (afterEffect) {
            mFleet.faults.loseReplies(vm, 1);
        } else {
            mFleet.faults.loseRequests(vm, 1);
        }
        CompletableFuture<Void> done = owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        Fleet.flush(owner);
        assertThat(done).isCompleted();
        mFleet.stop(vm);
        mFleet.runSeconds(9);
        assertThat(mFleet.owner(P).find(P).orElseThrow().history()).hasSize(1);
    }

    /**
     * Guards against acknowledged records that are lost or partly written when the owner crashes at
     * any write of a commit: the object, the transaction, or the write after it.
     */
    @ParameterizedTest
    @CsvSource({
        "0,false,10",
        "0,true,10",
        "1,false,10",
        "1,true,10",
        "0,false,20000",
        "0,true,20000",
        "1,false,20000",
        "1,true,20000",
        "2,false,20000",
        "2,true,20000"
    })
    void crashAtAnyWriteOfCommitKeepsAcknowledgedRecords(
            int writes, boolean effect, int textLength) {
        StateEngine owner = start();
        String vm = owner.self().vm().value();
        mFleet.faults.crashAtWrite(vm, writes, effect);
        String text = "x".repeat(textLength);
        CompletableFuture<Void> first =
                owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10, text)));
        owner.flushStep();
        CompletableFuture<Void> second =
                owner.append(
                        P, List.of(Fleet.intent(P, "r2"), Fleet.completed(P, "r2", 1, 10, text)));
        owner.flushStep();
        mFleet.stop(vm);
        mFleet.runSeconds(9);
        ProgramState state = mFleet.owner(P).find(P).orElseThrow();
        int found = state.history().size();
        assertThat(found).isGreaterThanOrEqualTo(first.isDone() ? 1 : 0);
        assertThat(found).isGreaterThanOrEqualTo(second.isDone() ? 2 : 0);
        assertThat(state.calls()).hasSize(found);
        assertThat(state.spentTokens()).isEqualTo(found + 10);
    }

    /** Guards against a lost shard that fails the records of other shards in its transaction. */
    @Test
    void conflictOnOneShardLeavesTheOthersCommitted() {
        mFleet.add("a", 1);
        mFleet.runSeconds(4);
        StateEngine owner = mFleet.owner(P);
        ProgramId other = new ProgramId("p4");
        assertThat(ShardId.of(other, 4)).isNotEqualTo(SHARD);
        String key = StoreRows.shardKey(SHARD);
        var row = mFleet.table.viewFor("x").read(key).orElseThrow();
        ShardRow rowOfOtherOwner = StoreRows.decodeShard(row).takenBy("x", 1);
        mFleet.table
                .viewFor("x")
                .commit(
                        Transaction.builder("x/1/1")
                                .put(key, row.version(), StoreRows.encode(rowOfOtherOwner))
                                .build());
        CompletableFuture<Void> lost = owner.append(P, List.of(Fleet.started(P, 1, 0)));
        CompletableFuture<Void> kept = owner.append(other, List.of(Fleet.started(other, 1, 0)));
        Fleet.flush(owner);
        assertThat(Fleet.failureKind(lost)).isEqualTo("ownership_lost");
        assertThat(kept).isCompletedWithValue(null);
        assertThat(owner.pendingBytes()).isZero();
        assertThat(owner.find(P)).isEmpty();
    }

    /** Guards against a commit of an owner that was paused during the write until a takeover. */
    @Test
    @Timeout(30)
    void writePausedUntilAfterTheTakeoverHasNoEffect() throws Exception {
        StateEngine owner = start();
        String vm = owner.self().vm().value();
        mFleet.faults.pause(vm);
        CompletableFuture<Void> late = owner.append(P, List.of(Fleet.intent(P, "r1")));
        Thread flush = new Thread(() -> Fleet.flush(owner));
        flush.start();
        mFleet.faults.awaitPaused(vm);
        mFleet.stop(vm);
        mFleet.runSeconds(9);
        StateEngine successor = mFleet.owner(P);
        mFleet.faults.resume(vm);
        flush.join(TimeUnit.SECONDS.toMillis(20));
        assertThat(Fleet.failureKind(late)).isEqualTo("ownership_lost");
        mFleet.stop(successor.self().vm().value());
        mFleet.add("c", 1);
        mFleet.runSeconds(12);
        assertThat(mFleet.owner(P).find(P).orElseThrow().calls()).isEmpty();
    }

    /** Guards against lost records and takeovers in a store outage of one hour. */
    @Test
    void outageKeepsRecordsPendingAndOwnersInPlace() {
        StateEngine owner = start();
        final long fence = owner.fence(SHARD).orElseThrow();
        mFleet.faults.setOutage(true);
        CompletableFuture<Void> done = owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        mFleet.runSeconds(3_600);
        assertThat(done).isNotDone();
        assertThat(owner.storeDown()).isTrue();
        assertThat(owner.pendingBytes()).isPositive();
        assertThat(owner.fence(SHARD)).isEmpty();
        assertThat(owner.fenceForIdempotentWork(SHARD)).isEmpty();
        mFleet.majorityReportsOutage = true;
        assertThat(owner.fenceForIdempotentWork(SHARD)).hasValue(fence);
        mFleet.faults.setOutage(false);
        mFleet.runSeconds(15);
        assertThat(done).isCompleted();
        assertThat(owner.fence(SHARD)).hasValue(fence);
        assertThat(owner.storeDown()).isFalse();
        assertThat(owner.pendingBytes()).isZero();
    }

    /** Guards against takeovers after a write outage during which no daemon could heartbeat. */
    @Test
    void outageOfWritesCausesNoTakeover() {
        StateEngine owner = start();
        final long fence = owner.fence(SHARD).orElseThrow();
        mFleet.faults.setWriteOutage(true);
        CompletableFuture<Void> done = owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        mFleet.runSeconds(301);
        mFleet.faults.setWriteOutage(false);
        mFleet.runSeconds(15);
        assertThat(done).isCompletedWithValue(null);
        assertThat(owner.fence(SHARD)).hasValue(fence);
        assertThat(mFleet.owner(SHARD)).isSameAs(owner);
    }

    /** Guards against a log that grows without bound and against snapshots that lose records. */
    @ParameterizedTest
    @ValueSource(ints = {10, 30_000})
    void longTailMovesToSnapshotsAndSurvivesTakeover(int textLength) {
        StateEngine owner = start();
        String text = "y".repeat(textLength);
        for (int i = 0; i < 300; i++) {
            CompletableFuture<Void> done =
                    owner.append(P, List.of(Fleet.completed(P, "r" + i, 1, 10, text)));
            Fleet.flush(owner);
            assertThat(done).isCompleted();
        }
        Fleet.flush(owner);
        ProgramState before = owner.find(P).orElseThrow();
        int tail = mFleet.table.count(StoreRows.logPrefix(SHARD));
        assertThat(tail).isLessThan(Compactor.MAX_TAIL_SEGMENTS + 5);
        assertThat(mFleet.objects.count("log/")).isLessThanOrEqualTo(tail);
        mFleet.stop(owner.self().vm().value());
        mFleet.runSeconds(9);
        ProgramState after = mFleet.owner(P).find(P).orElseThrow();
        assertThat(after.history()).isEqualTo(before.history());
        assertThat(after.calls().keySet()).isEqualTo(before.calls().keySet());
        assertThat(after.spentTokens()).isEqualTo(310);
    }

    /** Guards against a second dispatch of a call whose intent is already recorded. */
    @Test
    void secondIntentOfSameCallIsRejected() {
        StateEngine owner = start();
        owner.append(P, List.of(Fleet.intent(P, "r1")));
        assertThat(Fleet.failureKind(owner.append(P, List.of(Fleet.intent(P, "r1")))))
                .isEqualTo("conflict");
        assertThat(owner.find(P).orElseThrow().calls().get(new RequestId("r1")).state())
                .isEqualTo(CallState.INTENT);
    }
}
