package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replication of records to other daemons during a store outage, and their recovery. */
class ReplicationTest {
    private static final ProgramId P = new ProgramId("p1");
    private static final ShardId SHARD = ShardId.of(P, 4);

    private final Fleet mFleet = new Fleet(4);

    private StateEngine start(int daemons) {
        for (int i = 0; i < daemons; i++) {
            mFleet.add("vm" + i, 1);
        }
        mFleet.runSeconds(4);
        StateEngine owner = mFleet.owner(P);
        owner.append(P, List.of(Fleet.started(P, 1_000, 10)));
        Fleet.flush(owner);
        return owner;
    }

    private void startOutage() {
        mFleet.faults.setOutage(true);
        mFleet.majorityReportsOutage = true;
        mFleet.runSeconds(2);
    }

    private void endOutage() {
        mFleet.faults.clearFailures();
        mFleet.majorityReportsOutage = false;
        mFleet.runSeconds(12);
    }

    private void crash(StateEngine daemon) {
        mFleet.stop(daemon.self().vm().value());
        mFleet.peers.unreachable.add(daemon.self().vm().value());
    }

    /** Appends the records of two calls that cannot be written, and replicates them. */
    private void appendTwoCallsInOutage(StateEngine owner) {
        owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        Fleet.flush(owner);
        Fleet.flush(owner);
        assertThat(owner.storeDown()).isTrue();
        assertThat(owner.replicate(P)).isCompletedWithValue(null);
        owner.append(P, List.of(Fleet.completed(P, "r2", 1, 10)));
        assertThat(owner.replicate(P)).isCompletedWithValue(null);
    }

    private void assertBothCallsRecordedOnce(StateEngine owner) {
        ProgramState state = owner.find(P).orElseThrow();
        assertThat(state.history()).hasSize(2);
        // Two calls of one token each, and the reservation of 10 tokens, which was never settled.
        assertThat(state.spentTokens()).isEqualTo(12);
    }

    private List<StateEngine> holders(StateEngine owner) {
        List<StateEngine> holders = new ArrayList<>();
        for (DaemonInfo holder :
                ReplicaHolders.candidates(SHARD, owner.self(), owner.daemons()).subList(0, 2)) {
            holders.add(mFleet.engines.get(holder.vm().value()));
        }
        return holders;
    }

    /** Guards against answers that were delivered in an outage and are lost with the owner. */
    @Test
    void successorRecoversRecordsReplicatedByCrashedOwner() {
        StateEngine owner = start(5);
        startOutage();
        appendTwoCallsInOutage(owner);
        crash(owner);
        endOutage();
        assertBothCallsRecordedOnce(mFleet.owner(P));
        crash(mFleet.owner(P));
        mFleet.runSeconds(12);
        assertBothCallsRecordedOnce(mFleet.owner(P));
    }

    /** Guards against records applied twice after a commit with a lost reply and a replication. */
    @Test
    void replicasAreNotAppliedTwiceAfterLostReply() {
        StateEngine owner = start(5);
        mFleet.faults.loseReplies(owner.self().vm().value(), 1);
        owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        owner.flushStep();
        startOutage();
        appendSecondCallInOutage(owner);
        crash(owner);
        endOutage();
        assertBothCallsRecordedOnce(mFleet.owner(P));
    }

    private void appendSecondCallInOutage(StateEngine owner) {
        owner.append(P, List.of(Fleet.completed(P, "r2", 1, 10)));
        Fleet.flush(owner);
        assertThat(owner.replicate(P)).isCompletedWithValue(null);
    }

    /** Guards against an answer that is lost if the owner and one holder crash. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void recordsSurviveCrashOfOwnerAndOneHolder(int crashedHolder) {
        StateEngine owner = start(5);
        startOutage();
        List<StateEngine> holders = holders(owner);
        appendTwoCallsInOutage(owner);
        crash(owner);
        crash(holders.get(crashedHolder));
        endOutage();
        assertBothCallsRecordedOnce(mFleet.owner(P));
    }

    /** Guards against stale replicas that are appended after records of a later owner. */
    @Test
    void staleReplicasAreNotApplied() {
        StateEngine owner = start(6);
        startOutage();
        List<StateEngine> holders = holders(owner);
        appendTwoCallsInOutage(owner);
        crash(owner);
        holders.forEach(this::crash);
        endOutage();
        StateEngine successor = mFleet.owner(P);
        assertThat(successor.find(P).orElseThrow().history()).isEmpty();
        successor.append(P, List.of(Fleet.completed(P, "r3", 1, 10)));
        Fleet.flush(successor);
        for (StateEngine holder : holders) {
            mFleet.peers.unreachable.remove(holder.self().vm().value());
            mFleet.engines.put(holder.self().vm().value(), holder);
        }
        mFleet.runSeconds(12);
        assertThat(holders).allMatch(holder -> holder.replicaBytes() > 0);
        crash(mFleet.owner(P));
        mFleet.runSeconds(12);
        ProgramState state = mFleet.owner(P).find(P).orElseThrow();
        assertThat(state.history())
                .extracting(message -> message.content())
                .containsOnly("text of r3");
    }

    /** Guards against answers of a partitioned daemon that may have lost its shards. */
    @Test
    void isolatedDaemonReplicatesNothing() {
        StateEngine owner = start(5);
        mFleet.faults.setDisconnected(owner.self().vm().value(), true);
        owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        Fleet.flush(owner);
        Fleet.flush(owner);
        assertThat(owner.storeDown()).isTrue();
        assertThat(owner.replicate(P)).isCompletedExceptionally();
    }

    /** Guards against answers whose records are in the memory of a single daemon only. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void replicationFailsWithoutReachablePeers(int daemons) {
        StateEngine owner = start(daemons);
        mFleet.peers.unreachable.add(owner.self().vm().value());
        startOutage();
        owner.append(P, List.of(Fleet.completed(P, "r1", 1, 10)));
        Fleet.flush(owner);
        assertThat(Fleet.failureKind(owner.replicate(P))).isEqualTo("store_unavailable");
        endOutage();
        assertThat(owner.replicate(P)).isCompletedWithValue(null);
    }

    /** Guards against replicas that stay in memory after their records are durable. */
    @Test
    void holdersDropDurableRecords() {
        StateEngine owner = start(5);
        startOutage();
        List<StateEngine> holders = holders(owner);
        appendTwoCallsInOutage(owner);
        assertThat(holders).allMatch(holder -> holder.replicaBytes() > 0);
        endOutage();
        assertThat(holders).allMatch(holder -> holder.replicaBytes() == 0);
    }

    /**
     * Guards against a holder that accepts an earlier owner, exceeds its limit or never expires.
     */
    @Test
    void replicaStoreRejectsOldFencesAndBoundsSizeAndAge() {
        ManualTicker ticker = new ManualTicker();
        ReplicaStore store = new ReplicaStore(ticker);
        store.append(append(1, 5, 5, new byte[10], new byte[20]));
        assertThat(store.append(append(1, 5, 9, new byte[1])).upTo()).isEqualTo(4);
        assertThat(store.append(append(1, 6, 6, new byte[20])).upTo()).isEqualTo(6);
        assertThat(store.bytes()).isEqualTo(20);
        byte[] large = new byte[(int) ReplicaStore.MAX_BYTES];
        assertThatThrownBy(() -> store.append(append(1, 6, 7, large)))
                .isInstanceOf(HeathercourseException.class);
        store.query(new PeerMessage.ReplicaQuery(0, 3, 1));
        assertThatThrownBy(() -> store.append(append(2, 6, 6, new byte[1])))
                .isInstanceOf(HeathercourseException.class);
        ticker.advanceMillis(TimeUnit.NANOSECONDS.toMillis(ReplicaStore.RETENTION_NANOS) + 1);
        assertThat(store.query(new PeerMessage.ReplicaQuery(0, 3, 1)).records()).isEmpty();
        assertThat(store.bytes()).isZero();
    }

    private static PeerMessage.ReplicaAppend append(
            long fence, long first, long from, byte[]... records) {
        return new PeerMessage.ReplicaAppend(
                0, new VmId("a"), 1, fence, first, from, List.of(records));
    }
}
