package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.program.CallState;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Planned releases, concurrent takeovers, and failures during a change of owner. */
class HandoverTest {
    private static final ProgramId P = new ProgramId("p1");
    private static final int SHARDS = 8;
    private static final ShardId SHARD = ShardId.of(P, SHARDS);

    private final Fleet mFleet = new Fleet(SHARDS);

    /** Guards against a drain that aborts calls, spends reservations or loses outcomes. */
    @Test
    void drainWaitsForRunningCallsAndKeepsReservations() {
        mFleet.add("a", 1);
        mFleet.add("b", 1);
        mFleet.runSeconds(4);
        StateEngine owner = mFleet.owner(P);
        owner.append(P, List.of(Fleet.started(P, 100, 30), Fleet.intent(P, "r1")));
        ShardDirectory.Use use = owner.acquireUse(SHARD).orElseThrow();
        CompletableFuture<Void> drained = owner.drain();
        mFleet.runSeconds(20);
        assertThat(drained).isNotDone();
        assertThat(owner.fence(SHARD)).isPresent();
        assertThat(owner.acquireUse(SHARD)).isEmpty();
        owner.append(P, List.of(Fleet.completed(P, "r1", 5, 25)));
        use.close();
        use.close();
        mFleet.runSeconds(4);
        assertThat(drained).isCompleted();
        StateEngine successor = mFleet.owner(P);
        assertThat(successor).isNotSameAs(owner);
        ProgramState state = successor.find(P).orElseThrow();
        assertThat(state.calls().get(new RequestId("r1")).state()).isEqualTo(CallState.COMPLETED);
        assertThat(state.spentTokens()).isEqualTo(5);
        assertThat(state.reservedTokens()).isEqualTo(25);
    }

    /** Guards against a joining daemon that takes over too many shards at once, or none. */
    @Test
    void joiningDaemonTakesOverFewShardsPerSecond() {
        mFleet.add("a", 1);
        mFleet.runSeconds(4);
        mFleet.add("b", 1);
        Set<ShardId> moved = new HashSet<>();
        for (int second = 0; second < 20; second++) {
            mFleet.runSecond();
            int unowned = 0;
            for (int s = 0; s < SHARDS; s++) {
                ShardId shard = new ShardId(s);
                boolean owned =
                        mFleet.engines.values().stream()
                                .anyMatch(engine -> engine.fence(shard).isPresent());
                unowned += owned ? 0 : 1;
                if (mFleet.engines.get("b").fence(shard).isPresent()) {
                    moved.add(shard);
                }
            }
            assertThat(unowned).isLessThanOrEqualTo(2);
        }
        assertThat(moved.size()).isBetween(3, 5);
    }

    /** Guards against two owners after concurrent takeovers of the same shard. */
    @Test
    @Timeout(30)
    void raceForOneShardHasOneWinner() throws Exception {
        StateEngine a = mFleet.add("a", 1);
        Fleet.heartbeat(a);
        mFleet.faults.pause("a");
        Thread slow = new Thread(a::scanStep);
        slow.start();
        mFleet.faults.awaitPaused("a");
        mFleet.stop("a");
        StateEngine b = mFleet.add("b", 1);
        Fleet.heartbeat(b);
        // Without the row of a, b acts like an observer with a stale list of daemons.
        var row = mFleet.table.viewFor("x").read(StoreRows.daemonKey(new VmId("a"))).orElseThrow();
        mFleet.table
                .viewFor("x")
                .commit(Transaction.builder("x/1/1").delete(row.key(), row.version()).build());
        b.scanStep();
        mFleet.faults.resume("a");
        slow.join(TimeUnit.SECONDS.toMillis(20));
        for (int s = 0; s < SHARDS; s++) {
            assertThat(a.fence(new ShardId(s))).isEmpty();
            assertThat(b.fence(new ShardId(s))).isPresent();
        }
    }

    /** Guards against a shard without an owner, or with two, after a crash during a takeover. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
    void crashAtAnyWriteOfTakeoverLeavesOneOwner(int writes) {
        crashInTakeover(new Fleet(SHARDS), writes, false);
        crashInTakeover(new Fleet(SHARDS), writes, true);
    }

    private static void crashInTakeover(Fleet fleet, int writes, boolean effect) {
        fleet.add("a", 1);
        fleet.runSeconds(4);
        StateEngine first = fleet.owner(P);
        first.append(P, List.of(Fleet.started(P, 100, 30), Fleet.intent(P, "r1")));
        Fleet.flush(first);
        fleet.stop("a");
        fleet.add("b", 1);
        fleet.runSeconds(5);
        fleet.faults.crashAtWrite("b", writes, effect);
        fleet.runSeconds(6);
        fleet.stop("b");
        fleet.faults.clearFailures();
        fleet.add("c", 1);
        fleet.add("b", 2);
        fleet.runSeconds(16);
        ProgramState state = fleet.owner(P).find(P).orElseThrow();
        assertThat(state.calls().get(new RequestId("r1")).state()).isEqualTo(CallState.UNKNOWN);
        assertThat(state.spentTokens()).isEqualTo(30);
        for (int s = 0; s < SHARDS; s++) {
            assertThat(fleet.owner(new ShardId(s))).isNotNull();
        }
    }

    /** Guards against a slow observer that declares a daemon dead after a new heartbeat. */
    @Test
    @Timeout(30)
    void daemonWithTimelyHeartbeatIsNotDeclaredDead() throws Exception {
        StateEngine a = mFleet.add("a", 1);
        StateEngine b = mFleet.add("b", 1);
        mFleet.runSeconds(4);
        mFleet.stop("a");
        mFleet.runSeconds(5);
        Set<ShardId> held = new HashSet<>();
        Fleet.heartbeat(b);
        mFleet.faults.pause("b", "daemon/a");
        mFleet.ticker.advanceMillis(1_000);
        Thread slow = new Thread(b::scanStep);
        slow.start();
        mFleet.faults.awaitPaused("b");
        Fleet.heartbeat(a);
        for (int s = 0; s < SHARDS; s++) {
            if (a.fence(new ShardId(s)).isPresent()) {
                held.add(new ShardId(s));
            }
        }
        mFleet.faults.resume("b");
        slow.join(TimeUnit.SECONDS.toMillis(20));
        Fleet.heartbeat(a);
        assertThat(held).isNotEmpty();
        for (ShardId shard : held) {
            assertThat(a.fence(shard)).isPresent();
            assertThat(b.fence(shard)).isEmpty();
        }
    }

    /** Guards against a retried heartbeat that observers cannot distinguish from the first. */
    @Test
    void heartbeatRetriedAfterLostReplyIsSeenAsNew() {
        StateEngine a = mFleet.add("a", 1);
        StateEngine b = mFleet.add("b", 1);
        mFleet.runSeconds(4);
        mFleet.stop("a");
        mFleet.faults.loseReplies("a", 1);
        a.heartbeatStep();
        mFleet.runSeconds(5);
        Fleet.heartbeat(a);
        mFleet.runSeconds(3);
        for (int s = 0; s < SHARDS; s++) {
            ShardId shard = new ShardId(s);
            assertThat(a.fence(shard).isPresent()).isNotEqualTo(b.fence(shard).isPresent());
        }
        assertThat(b.daemons()).hasSize(2);
    }

    /** Guards against a takeover from a daemon that recovered after the observer's last scan. */
    @Test
    void recoveredDaemonKeepsShardsDespiteStaleObserver() {
        StateEngine a = mFleet.add("a", 1);
        StateEngine b = mFleet.add("b", 1);
        mFleet.runSeconds(4);
        mFleet.stop("a");
        mFleet.runSeconds(5);
        Fleet.heartbeat(b);
        mFleet.ticker.advanceMillis(1_000);
        // The observer declares the daemon dead and crashes before it takes over a shard.
        mFleet.faults.crashAtWrite("b", 1, false);
        b.scanStep();
        mFleet.faults.clearFailures();
        Fleet.heartbeat(a);
        a.scanStep();
        mFleet.ticker.advanceMillis(100);
        b.scanStep();
        for (int s = 0; s < SHARDS; s++) {
            ShardId shard = new ShardId(s);
            assertThat(a.fence(shard).isPresent()).isNotEqualTo(b.fence(shard).isPresent());
        }
    }

    /** Guards against a process that continues to serve after a later one started on its VM. */
    @Test
    void laterIncarnationReplacesEarlierProcess() {
        StateEngine old = mFleet.add("a", 1);
        mFleet.runSeconds(4);
        mFleet.stop("a");
        mFleet.add("a", 2);
        mFleet.runSecond();
        mFleet.runSecond();
        assertThat(old.heartbeatStep()).isEqualTo(Heartbeat.Step.REPLACED);
        assertThat(old.fence(SHARD)).isEmpty();
        mFleet.runSeconds(8);
        assertThat(mFleet.owner(SHARD).self().incarnation()).isEqualTo(2);
    }
}
