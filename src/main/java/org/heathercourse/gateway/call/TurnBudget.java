package org.heathercourse.gateway.call;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.Service;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.platform.entry.CallFacts;

/**
 * The tokens that one turn takes out of the budget of its program. Confined to the traffic loop.
 */
final class TurnBudget {
    private final CallDependencies mDependencies;
    private final CallFacts mFacts;
    private final Admission mAdmission;
    private Reservation mReservation;

    TurnBudget(CallDependencies dependencies, CallFacts facts, Admission admission) {
        mDependencies = dependencies;
        mFacts = facts;
        mAdmission = admission;
    }

    /** Returns whether the call is a turn of a program with a budget. */
    boolean needed() {
        return mAdmission.route().kind() == RouteKind.STREAMING
                && mFacts.programId() != null
                && mFacts.budgetTokens().isPresent()
                && mFacts.maxOutputTokens() > 0;
    }

    /** Reserves the most that the turn can generate. */
    CompletableFuture<Reservation> reserve() {
        String workspace = mAdmission.workspaceName();
        String program = (workspace == null ? "" : workspace) + "/" + mFacts.programId();
        long limitTokens = mFacts.budgetTokens().getAsLong();
        return mDependencies
                .budgetService()
                .thenCompose(
                        budgets -> budgets.reserve(program, limitTokens, mFacts.maxOutputTokens()));
    }

    /** Keeps a granted reservation until {@link #settle}. */
    void granted(Reservation reservation) {
        mReservation = reservation;
    }

    /** Gives back a reservation that came when the call had ended. */
    void returnUnused(Reservation reservation) {
        if (reservation != null && reservation.outcome() == BudgetOutcome.GRANTED) {
            settle(reservation, mFacts.maxOutputTokens(), false);
        }
    }

    /** Returns whether no turn of the program has run before this one. */
    boolean programNotBegun() {
        return mReservation != null && !mReservation.begun();
    }

    /**
     * Ends the turn.
     *
     * @param service service that ran it
     * @param events events that were passed on
     * @param ran whether a target generated tokens for it
     */
    void settle(String service, long events, boolean ran) {
        if (mReservation != null) {
            settle(mReservation, unusedTokens(service, events), ran);
        }
    }

    private void settle(Reservation reservation, long unusedTokens, boolean ran) {
        mDependencies
                .budgetService()
                .thenAccept(budgets -> budgets.settle(reservation, unusedTokens, ran));
    }

    /** Counts the tokens in the events; all are used if it is not known how many an event has. */
    private long unusedTokens(String service, long events) {
        int tokensPerEvent =
                mAdmission.routing().service(service).map(Service::tokensPerEvent).orElse(0);
        boolean unknown = tokensPerEvent == 0 && events > 0;
        long usedTokens = unknown ? mFacts.maxOutputTokens() : events * tokensPerEvent;
        return Math.max(0, mFacts.maxOutputTokens() - usedTokens);
    }
}
