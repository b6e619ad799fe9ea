package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/**
 * Guards against programs that are stopped because their owner granted tokens too late, or did not
 * learn that they were not used.
 */
class SilentBudgetOwnerTest {
    private static final long LIMIT_TOKENS = 500;

    /** More than half of the budget, so that one lost reservation stops the program. */
    private static final long MAX_TURN_TOKENS = 288;

    /** Time in which an owner that replies again has all settlements. */
    private static final long SETTLE_MILLIS = 6_000;

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final MemoryRows mRows = new MemoryRows();
    private final ClusterView mClusterView = new ClusterView();
    private final Link mLink = new Link();
    private final BudgetService mOwner = createService("vm-1", mLink.mOwnerSide);
    private final BudgetService mAsker = createService("vm-0", mLink);

    private BudgetService createService(String vm, PeerNetwork peers) {
        mClusterView.setFleet(new Fleet(List.of(member("vm-1"))));
        BudgetLedger ledger = new BudgetLedger(mRows, mExecutor, mTime.ticker(), vm + "/");
        return new BudgetService(ledger, mClusterView, peers, mExecutor, member(vm));
    }

    private static Member member(String vm) {
        return new Member(
                new VmId(vm), 1, new Zone("z"), "h:1", "h", 2, MemberState.READY, 1, 1_000, 0);
    }

    /** A network without requests. */
    private static class NoPeers implements PeerNetwork {
        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            throw new UnsupportedOperationException("the owner asks nobody");
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {}

        @Override
        public PeerNetwork.CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("budgets need no calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, PeerNetwork.CallStream> handler) {}

        @Override
        public void close() {}
    }

    /** The asker's network, over which messages reach the owner and replies may be lost. */
    private static final class Link extends NoPeers {
        private final Map<Class<?>, Function<PeerMessage, CompletionStage<?>>> mHandlers =
                new HashMap<>();
        private final PeerNetwork mOwnerSide = new OwnerSide();
        private int mLostReplies;

        private final class OwnerSide extends NoPeers {
            @Override
            public <M extends PeerMessage> void onRequest(
                    Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {
                mHandlers.put(type, message -> handler.apply(type.cast(message)));
            }
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            CompletableFuture<R> reply =
                    mHandlers
                            .get(message.getClass())
                            .apply(message)
                            .toCompletableFuture()
                            .thenApply(replyType::cast);
            if (mLostReplies == 0) {
                return reply;
            }
            mLostReplies--;
            return CompletableFuture.failedFuture(
                    new PeerException("no reply within 350 ms", false, null));
        }
    }

    private Reservation reserve(BudgetService service) {
        CompletableFuture<Reservation> reservation =
                service.reserve("w/p", LIMIT_TOKENS, MAX_TURN_TOKENS);
        for (int i = 0; i < 200 && !reservation.isDone(); i++) {
            mExecutor.advance(20);
        }
        return reservation.join();
    }

    /** Guards against a 402 for ever after one late reply (LOST on days with a final fault). */
    @Test
    void reservationGrantedTooLateIsGivenUp() {
        mLink.mLostReplies = Integer.MAX_VALUE;
        assertThat(reserve(mAsker).outcome()).isNotEqualTo(BudgetOutcome.GRANTED);
        mLink.mLostReplies = 0;
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(reserve(mOwner).outcome()).isEqualTo(BudgetOutcome.GRANTED);
    }

    /** Guards against a final answer while the silent owner may hold what is missing. */
    @Test
    void budgetIsNotSpentForCertainWhileTheOwnerIsSilent() {
        reserve(mOwner);
        mLink.mLostReplies = Integer.MAX_VALUE;
        assertThat(reserve(mAsker).outcome()).isEqualTo(BudgetOutcome.UNAVAILABLE);
    }

    /** Guards against tokens that are lost, or returned twice, with replies to settlements. */
    @Test
    void settlementIsRepeatedAndCountsOnce() {
        Reservation reservation = reserve(mAsker);
        mLink.mLostReplies = 2;
        mAsker.settle(reservation, 100, true);
        mExecutor.advance(SETTLE_MILLIS);
        assertThat(mLink.mLostReplies).as("it was sent three times").isZero();
        Reservation next = reserve(mOwner);
        assertThat(next.outcome()).as("500 - 188 of 288 are left").isEqualTo(BudgetOutcome.GRANTED);
        assertThat(reserve(mOwner).outcome())
                .as("500 - 188 - 288 of 288 are left")
                .isEqualTo(BudgetOutcome.EXHAUSTED);
    }
}
