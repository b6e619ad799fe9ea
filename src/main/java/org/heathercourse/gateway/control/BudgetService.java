package org.heathercourse.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.model.Zone;
import org.heathercourse.daemon.peer.PeerException;
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

    /** Maximum number of times that a settlement is sent to an owner that does not reply. */
    private static final int MAX_SETTLE_TRIES = 5;

    /** Delay in milliseconds before a settlement is repeated first; it doubles each time. */
    private static final long SETTLE_RETRY_MILLIS = 300;

    private static final EventLog LOG = EventLog.of(BudgetService.class);

    private final BudgetLedger mLedger;
    private final ClusterView mClusterView;
    private final PeerNetwork mPeers;
    private final ScheduledExecutorService mControl;
    private final Member mSelf;
    private final Zone mZone;
    private final PeerReservations mPeerReservations;
    private final OpenTurns mOpenTurns = new OpenTurns();
    private final AtomicLong mReservationCount = new AtomicLong();

    /**
     * The result of a reservation of tokens for a turn.
     *
     * @param outcome whether the tokens are reserved
     * @param begun whether a turn of the program has run before
     * @param program key of the program
     * @param owner gateway that holds the reservation; null if it is this one
     * @param id identity of the reservation at its owner; null if this gateway holds it
     */
    public record Reservation(
            BudgetOutcome outcome, boolean begun, String program, Member owner, String id) {}

    BudgetService(
            BudgetLedger ledger,
            ClusterView clusterView,
            PeerNetwork peers,
            ScheduledExecutorService control,
            Member self) {
        mLedger = ledger;
        mPeerReservations = new PeerReservations(ledger);
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
        return reserve(new BudgetReserve(key, null, limitTokens, needTokens), MAX_TRIES)
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
        return reserveAtOwner(owner.get(), withNewIdentity(request));
    }

    private BudgetReserve withNewIdentity(BudgetReserve request) {
        String id =
                mSelf.vm() + "/" + mSelf.incarnation() + "/" + mReservationCount.incrementAndGet();
        return new BudgetReserve(
                request.program(), id, request.limitTokens(), request.needTokens());
    }

    private CompletableFuture<Reservation> reserveAtOwner(Member owner, BudgetReserve request) {
        return mPeers.request(
                        PeerAddress.of(owner), request, BudgetReply.class, OWNER_TIMEOUT_MILLIS)
                .thenApply(
                        reply ->
                                new Reservation(
                                        BudgetOutcome.fromWireName(reply.outcome()),
                                        reply.begun(),
                                        request.program(),
                                        owner,
                                        request.reservation()))
                .exceptionallyCompose(error -> reserveWithoutOwner(owner, request, error));
    }

    /**
     * Reserves tokens here because the owner has not replied, and gives up what the owner may grant
     * late. The budget may seem spent only because the owner holds tokens, so that a refusal is not
     * certain.
     */
    private CompletableFuture<Reservation> reserveWithoutOwner(
            Member owner, BudgetReserve request, Throwable error) {
        LOG.info(
                "budget_owner_silent",
                "program",
                request.program(),
                "owner",
                owner.vm(),
                "reason",
                error.getMessage());
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (!(cause instanceof PeerException failure) || !failure.notSent()) {
            giveUp(owner, request);
        }
        return reserveLocally(request)
                .thenApply(
                        reservation ->
                                reservation.outcome() == BudgetOutcome.EXHAUSTED
                                        ? unavailable(reservation)
                                        : reservation);
    }

    private void giveUp(Member owner, BudgetReserve request) {
        mOpenTurns.begin();
        BudgetSettle message =
                new BudgetSettle(
                        request.program(), request.reservation(), request.needTokens(), false);
        settleAtOwner(owner, message, MAX_SETTLE_TRIES)
                .whenComplete((done, error) -> onSettled(message, error));
    }

    private static Reservation unavailable(Reservation reservation) {
        return new Reservation(
                BudgetOutcome.UNAVAILABLE,
                reservation.begun(),
                reservation.program(),
                reservation.owner(),
                reservation.id());
    }

    private CompletableFuture<Reservation> reserveLocally(BudgetReserve request) {
        return reserveInLedger(request)
                .thenApply(
                        grant ->
                                new Reservation(
                                        grant.outcome(),
                                        grant.begun(),
                                        request.program(),
                                        null,
                                        null));
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
        BudgetSettle message =
                new BudgetSettle(reservation.program(), reservation.id(), unusedTokens, ran);
        CompletableFuture<?> settled =
                reservation.owner() == null
                        ? CompletableFuture.runAsync(
                                () -> mLedger.settle(reservation.program(), unusedTokens, ran),
                                mControl)
                        : settleAtOwner(reservation.owner(), message, MAX_SETTLE_TRIES);
        settled.whenComplete((done, error) -> onSettled(message, error));
    }

    private void onSettled(BudgetSettle message, Throwable error) {
        if (error != null) {
            // The tokens count as spent, so that the budget is never exceeded.
            LOG.info(
                    "budget_not_settled",
                    "program",
                    message.program(),
                    "unusedTokens",
                    message.unusedTokens());
        }
        mOpenTurns.end();
    }

    /** Sends a settlement until the owner has replied, as long as tries are left. */
    private CompletableFuture<BudgetReply> settleAtOwner(
            Member owner, BudgetSettle message, int tries) {
        return mPeers.request(
                        PeerAddress.of(owner), message, BudgetReply.class, OWNER_TIMEOUT_MILLIS)
                .exceptionallyCompose(
                        error ->
                                tries > 1
                                        ? pause(tries)
                                                .thenCompose(
                                                        ended ->
                                                                settleAtOwner(
                                                                        owner, message, tries - 1))
                                        : CompletableFuture.failedFuture(error));
    }

    private CompletableFuture<Void> pause(int triesLeft) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        long delayMillis = SETTLE_RETRY_MILLIS << (MAX_SETTLE_TRIES - triesLeft);
        mControl.schedule(() -> ended.complete(null), delayMillis, TimeUnit.MILLISECONDS);
        return ended;
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
        return CompletableFuture.supplyAsync(() -> mPeerReservations.reserve(request), mControl)
                .thenCompose(grant -> grant)
                .thenApply(grant -> new BudgetReply(grant.outcome().wireName(), grant.begun()));
    }

    private CompletableFuture<BudgetReply> onSettle(BudgetSettle message) {
        return CompletableFuture.supplyAsync(
                () -> {
                    mPeerReservations.settle(message);
                    return new BudgetReply(BudgetOutcome.GRANTED.wireName(), true);
                },
                mControl);
    }
}
