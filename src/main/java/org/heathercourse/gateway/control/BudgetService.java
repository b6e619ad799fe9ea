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
import org.heathercourse.platform.rows.RowKey;

/**
 * Reserves tokens in the budgets of programs at the gateways that own the programs.
 *
 * <p>If the owner does not reply, this gateway acquires a chunk of the budget itself; the program's
 * row in the store decides between competing gateways. Safe for use by several threads.
 */
public final class BudgetService {
    /** Timeout in milliseconds of a request to the owner. */
    private static final long OWNER_TIMEOUT_MILLIS = 350;

    /** Maximum number of tries for a turn while the store is unavailable to the owner. */
    private static final int MAX_TRIES = 3;

    private static final EventLog LOG = EventLog.of(BudgetService.class);

    private final BudgetLedger mLedger;
    private final ClusterView mClusterView;
    private final PeerNetwork mPeers;
    private final Executor mControl;
    private final Member mSelf;
    private final Zone mZone;
    private final OpenTurns mOpenTurns = new OpenTurns();

    /**
     * The result of a reservation of tokens for a turn.
     *
     * @param outcome whether the tokens are reserved
     * @param begun whether a turn of the program has run before
     * @param program key of the program
     * @param owner gateway that holds the reservation; null if it is this one
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
     * @param program key of the program, with a slash; a digest stands for a long one
     * @param limitTokens the program's budget in tokens
     * @param needTokens maximum number of tokens that the turn can generate
     * @return the reservation, which {@link #settle} must end if it is granted; never completes
     *     exceptionally
     */
    public CompletableFuture<Reservation> reserve(
            String program, long limitTokens, long needTokens) {
        mOpenTurns.begin();
        String key = RowKey.boundedText(program, RowKey.MAX_TEXT_BYTES);
        return reserve(new BudgetReserve(key, limitTokens, needTokens), MAX_TRIES)
                .whenComplete(
                        (reservation, error) -> {
                            if (error != null || reservation.outcome() != BudgetOutcome.GRANTED) {
                                mOpenTurns.end();
                            }
                        });
    }

    private CompletableFuture<Reservation> reserve(BudgetReserve request, int tries) {
        return reserveOnce(request)
                .thenCompose(
                        reservation ->
                                reservation.outcome() == BudgetOutcome.UNAVAILABLE && tries > 1
                                        ? reserve(request, tries - 1)
                                        : CompletableFuture.completedFuture(reservation));
    }

    private CompletableFuture<Reservation> reserveOnce(BudgetReserve request) {
        Optional<Member> owner = mClusterView.fleet().budgetOwner(request.program(), mZone);
        if (owner.isEmpty() || owner.get().vm().equals(mSelf.vm())) {
            return reserveLocally(request);
        }
        Member member = owner.get();
        return mPeers.request(
                        PeerAddress.of(member), request, BudgetReply.class, OWNER_TIMEOUT_MILLIS)
                .thenApply(
                        reply ->
                                new Reservation(
                                        BudgetOutcome.fromWireName(reply.outcome()),
                                        reply.begun(),
                                        request.program(),
                                        member))
                .exceptionallyCompose(
                        error -> {
                            LOG.info(
                                    "budget_owner_silent",
                                    "program",
                                    request.program(),
                                    "owner",
                                    member.vm(),
                                    "reason",
                                    error.getMessage());
                            return reserveLocally(request);
                        });
    }

    private CompletableFuture<Reservation> reserveLocally(BudgetReserve request) {
        return reserveInLedger(request)
                .thenApply(
                        grant ->
                                new Reservation(
                                        grant.outcome(), grant.begun(), request.program(), null));
    }

    private CompletableFuture<BudgetLedger.Grant> reserveInLedger(BudgetReserve request) {
        return CompletableFuture.supplyAsync(
                        () ->
                                mLedger.reserve(
                                        request.program(),
                                        request.limitTokens(),
                                        request.needTokens()),
                        mControl)
                .thenCompose(grant -> grant);
    }

    /**
     * Ends a turn and releases its unused tokens.
     *
     * @param reservation granted reservation of the turn
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for the turn
     */
    public void settle(Reservation reservation, long unusedTokens, boolean ran) {
        settleAtOwner(reservation, unusedTokens, ran)
                .whenComplete(
                        (done, error) -> {
                            if (error != null) {
                                // The tokens count as spent, so that the budget is never exceeded.
                                LOG.info(
                                        "budget_not_settled",
                                        "program",
                                        reservation.program(),
                                        "unusedTokens",
                                        unusedTokens);
                            }
                            mOpenTurns.end();
                        });
    }

    private CompletableFuture<?> settleAtOwner(
            Reservation reservation, long unusedTokens, boolean ran) {
        if (reservation.owner() == null) {
            return CompletableFuture.runAsync(
                    () -> mLedger.settle(reservation.program(), unusedTokens, ran), mControl);
        }
        return mPeers.request(
                PeerAddress.of(reservation.owner()),
                new BudgetSettle(reservation.program(), unusedTokens, ran),
                BudgetReply.class,
                OWNER_TIMEOUT_MILLIS);
    }

    /** Returns the unused tokens of programs that another gateway owns now. */
    void returnUnownedTokens() {
        mLedger.beginReturnOfUnusedTokens(
                program ->
                        mClusterView
                                .fleet()
                                .budgetOwner(program, mZone)
                                .filter(owner -> !owner.vm().equals(mSelf.vm()))
                                .isPresent());
    }

    /**
     * Returns all unused tokens.
     *
     * @return completes when the store has them
     */
    CompletableFuture<Void> returnAllTokens() {
        return mLedger.returnUnusedTokens(program -> true);
    }

    /**
     * Returns all unused tokens, also those of turns that are being settled. Requires that no turn
     * begins any more.
     *
     * @return completes when the owners have the settlements of all turns, and the store has the
     *     unused tokens; not while the store is unavailable
     */
    CompletableFuture<Void> settleAndReturnTokens() {
        // Runs after the settlements that are already queued. The tokens of programs whose turns
        // are settled are returned even if the owner of another program does not reply.
        CompletableFuture<Void> settledNow = returnAllTokensOnControlThread();
        CompletableFuture<Void> settledLater =
                mOpenTurns.whenNone().thenCompose(none -> returnAllTokensOnControlThread());
        return CompletableFuture.allOf(settledNow, settledLater);
    }

    private CompletableFuture<Void> returnAllTokensOnControlThread() {
        return CompletableFuture.supplyAsync(this::returnAllTokens, mControl)
                .thenCompose(returned -> returned);
    }

    private CompletableFuture<BudgetReply> onReserve(BudgetReserve request) {
        return reserveInLedger(request)
                .thenApply(grant -> new BudgetReply(grant.outcome().wireName(), grant.begun()));
    }

    private CompletableFuture<BudgetReply> onSettle(BudgetSettle message) {
        return CompletableFuture.supplyAsync(
                () -> {
                    mLedger.settle(message.program(), message.unusedTokens(), message.ran());
                    return new BudgetReply(BudgetOutcome.GRANTED.wireName(), true);
                },
                mControl);
    }
}
