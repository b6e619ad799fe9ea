package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.daemon.peer.PeerException;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.BudgetReply;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/** Guards against budget tokens that are lost because a gateway exits before they are released. */
class BudgetServiceTest {
    private static final long LIMIT_TOKENS = 1_000;
    private static final long MAX_TURN_TOKENS = 100;

    private final MemoryRows mRows = new MemoryRows();
    private final ClusterView mClusterView = new ClusterView();
    private final ManualPeers mPeers = new ManualPeers();
    private final BudgetService mService = createService();

    private BudgetService createService() {
        TestTime time = new TestTime();
        ManualExecutor executor = new ManualExecutor(time);
        BudgetLedger ledger = new BudgetLedger(mRows, executor, time.ticker(), "g/");
        return new BudgetService(ledger, mClusterView, mPeers, executor, member("vm-0"));
    }

    private static Member member(String vm) {
        return new Member(
                new VmId(vm), 1, new Zone("z"), "h:1", "h", 2, MemberState.READY, 1, 1_000, 0);
    }

    private CompletableFuture<Reservation> reserve(String program) {
        return mService.reserve(program, LIMIT_TOKENS, MAX_TURN_TOKENS);
    }

    private void useRemoteOwner() {
        mClusterView.setFleet(new Fleet(List.of(member("vm-1"))));
    }

    /** Requests whose replies the test sends. */
    private static final class ManualPeers implements PeerNetwork {
        private final Deque<CompletableFuture<PeerMessage>> mRequests = new ArrayDeque<>();

        void reply() {
            mRequests.remove().complete(new BudgetReply(BudgetOutcome.GRANTED.wireName(), true));
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
            mRequests.add(reply);
            return reply.thenApply(replyType::cast);
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {}

        @Override
        public CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("budgets need no calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {}

        @Override
        public void close() {}
    }

    /** Guards against links that are closed before the owner has received the settlement. */
    @Test
    void exitWaitsForSettlementAtOwner() {
        useRemoteOwner();
        CompletableFuture<Reservation> reservation = reserve("w/p");
        mPeers.reply();
        mService.settle(reservation.join(), MAX_TURN_TOKENS, false);
        CompletableFuture<Void> settled = mService.settleAndReturnTokens();
        assertThat(settled).as("the owner has not replied").isNotDone();
        mPeers.reply();
        assertThat(settled).isCompleted();
    }

    /** Guards against a reservation that stays because it is granted after its call has ended. */
    @Test
    void exitWaitsForReservationThatIsReleasedLate() {
        useRemoteOwner();
        CompletableFuture<Reservation> reservation = reserve("w/p");
        CompletableFuture<Void> settled = mService.settleAndReturnTokens();
        mPeers.reply();
        assertThat(settled).as("the reservation is not released").isNotDone();
        mService.settle(reservation.join(), MAX_TURN_TOKENS, false);
        assertThat(settled).as("the owner has not replied").isNotDone();
        mPeers.reply();
        assertThat(settled).isCompleted();
    }

    /** Guards against owners that keep names of programs as long as a head (review/7). */
    @Test
    void longNamesOfProgramsAreKeptAsDigests() {
        String name = "w/" + "x".repeat(15_000);
        Reservation first = reserve(name + "1").join();
        Reservation second = reserve(name + "2").join();
        assertThat(first.program()).hasSizeLessThanOrEqualTo(RowKey.MAX_TEXT_BYTES);
        assertThat(second.program()).isNotEqualTo(first.program());
        mService.settle(first, MAX_TURN_TOKENS, false);
        mService.settle(second, MAX_TURN_TOKENS, false);
        assertThat(mService.settleAndReturnTokens()).isCompleted();
    }

    /** Guards against an exit that waits for a turn that was refused. */
    @Test
    void exitDoesNotWaitForRefusedTurn() {
        Reservation refused = mService.reserve("w/p", LIMIT_TOKENS, LIMIT_TOKENS + 1).join();
        assertThat(refused.outcome()).isEqualTo(BudgetOutcome.EXHAUSTED);
        assertThat(mService.settleAndReturnTokens()).isCompleted();
    }

    /** Guards against an owner that does not reply and so prevents the return of other tokens. */
    @Test
    void silentOwnerDoesNotDelayReturnOfOtherTokens() {
        Reservation local = reserve("w/local").join();
        useRemoteOwner();
        reserve("w/remote");
        mService.settle(local, MAX_TURN_TOKENS, false);
        assertThat(mService.settleAndReturnTokens()).isNotDone();
        BudgetLedger other =
                new BudgetLedger(
                        mRows,
                        new ManualExecutor(new TestTime()),
                        new TestTime().ticker(),
                        "other/");
        assertThat(other.reserve("w/local", LIMIT_TOKENS, LIMIT_TOKENS).join().outcome())
                .isEqualTo(BudgetOutcome.GRANTED);
    }
}
