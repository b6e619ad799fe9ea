package org.heathercourse.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.model.Zone;
import org.heathercourse.daemon.peer.PeerMessage.BudgetReply;
import org.heathercourse.daemon.peer.PeerMessage.BudgetReserve;
import org.heathercourse.daemon.peer.PeerMessage.BudgetSettle;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;

/**
 * Reserves tokens of programs' budgets at the gateways that own the programs.
 *
 * <p>If the owner does not answer, this gateway takes a chunk of the budget itself: the row in the
 * store settles who may use what. Safe for use by several threads.
 */
public final class BudgetService {
    /** Longest time in milliseconds that the owner may take. */
    private static final long OWNER_MILLIS = 350;

    /** Times that a gateway is asked for a turn while the store keeps it waiting. */
    private static final int ASKS = 3;

    private static final EventLog LOG = EventLog.of(BudgetService.class);

    private final BudgetLedger mLedger;
    private final ClusterView mClusterView;
    private final PeerNetwork mPeers;
    private final Executor mControl;
    private final Member mSelf;
    private final Zone mZone;

    /**
     * Tokens that a turn may use.
     *
     * @param outcome whether it may
     * @param begun whether a turn of the program has run before
     * @param program key of the program
     * @param owner gateway at which they are reserved; null if it is this one
     */
    public record Reservation(BudgetOutcome outcome, boolean begun, String program, Member owner) {}

    BudgetService(
            BudgetLedger ledger,
            ClusterView clusterView,
            PeerNetwork peers,
            Executor control,
            Member self) {
        mLedger = ledger;
        mClusterView = clusterView;
        mPeers = peers;
        mControl = control;
        mSelf = self;
        mZone = self.zone();
        peers.onRequest(BudgetReserve.class, this::onReserve);
        peers.onRequest(BudgetSettle.class, this::onSettle);
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param program key of the program
     * @param limitTokens the program's budget
     * @param needTokens the most that the turn can generate
     * @return the reservation; never fails
     */
    public CompletableFuture<Reservation> reserve(
            String program, long limitTokens, long needTokens) {
        return reserve(new BudgetReserve(program, limitTokens, needTokens), ASKS);
    }

    private CompletableFuture<Reservation> reserve(BudgetReserve ask, int asks) {
        return reserveOnce(ask)
                .thenCompose(
                        reservation ->
                                reservation.outcome() == BudgetOutcome.UNAVAILABLE && asks > 1
                                        ? reserve(ask, asks - 1)
                                        : CompletableFuture.completedFuture(reservation));
    }

    private CompletableFuture<Reservation> reserveOnce(BudgetReserve ask) {
        Optional<Member> owner = mClusterView.fleet().ownerOf(ask.program(), mZone);
        if (owner.isEmpty() || owner.get().vm().equals(mSelf.vm())) {
            return reserveHere(ask);
        }
        Member member = owner.get();
        return mPeers.request(PeerAddress.of(member), ask, BudgetReply.class, OWNER_MILLIS)
                .thenApply(
                        reply ->
                                new Reservation(
                                        BudgetOutcome.fromWireName(reply.outcome()),
                                        reply.begun(),
                                        ask.program(),
                                        member))
                .exceptionallyCompose(
                        error -> {
                            LOG.info(
                                    "budget_owner_silent",
                                    "program",
                                    ask.program(),
                                    "owner",
                                    member.vm(),
                                    "reason",
                                    error.getMessage());
                            return reserveHere(ask);
                        });
    }

    private CompletableFuture<Reservation> reserveHere(BudgetReserve ask) {
        return grant(ask)
                .thenApply(
                        grant ->
                                new Reservation(
                                        grant.outcome(), grant.begun(), ask.program(), null));
    }

    private CompletableFuture<BudgetLedger.Grant> grant(BudgetReserve ask) {
        return CompletableFuture.supplyAsync(
                        () -> mLedger.reserve(ask.program(), ask.limitTokens(), ask.needTokens()),
                        mControl)
                .thenCompose(grant -> grant);
    }

    /**
     * Ends a turn.
     *
     * @param reservation its granted reservation
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for the turn
     */
    public void settle(Reservation reservation, long unusedTokens, boolean ran) {
        if (reservation.owner() == null) {
            mControl.execute(() -> mLedger.settle(reservation.program(), unusedTokens, ran));
            return;
        }
        BudgetSettle message = new BudgetSettle(reservation.program(), unusedTokens, ran);
        mPeers.request(
                        PeerAddress.of(reservation.owner()),
                        message,
                        BudgetReply.class,
                        OWNER_MILLIS)
                .whenComplete(
                        (reply, error) -> {
                            if (error != null) {
                                // The tokens count as spent, which is the safe side.
                                LOG.info(
                                        "budget_not_settled",
                                        "program",
                                        reservation.program(),
                                        "unusedTokens",
                                        unusedTokens);
                            }
                        });
    }

    /** Gives back what belongs to programs that another gateway owns now. */
    void returnUnownedTokens() {
        mLedger.returnUnusedTokens(
                program ->
                        mClusterView
                                .fleet()
                                .ownerOf(program, mZone)
                                .filter(owner -> !owner.vm().equals(mSelf.vm()))
                                .isPresent());
    }

    /** Gives back all that is not in use. */
    void returnAllTokens() {
        mLedger.returnUnusedTokens(program -> true);
    }

    private CompletableFuture<BudgetReply> onReserve(BudgetReserve ask) {
        return grant(ask)
                .thenApply(grant -> new BudgetReply(grant.outcome().wireName(), grant.begun()));
    }

    private CompletableFuture<BudgetReply> onSettle(BudgetSettle settle) {
        return CompletableFuture.supplyAsync(
                () -> {
                    mLedger.settle(settle.program(), settle.unusedTokens(), settle.ran());
                    return new BudgetReply(BudgetOutcome.GRANTED.wireName(), true);
                },
                mControl);
    }
}
