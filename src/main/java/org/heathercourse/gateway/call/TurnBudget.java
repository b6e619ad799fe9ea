package org.heathercourse.gateway.call;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.Service;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.platform.entry.CallFacts;

/**
 * Reserves the tokens of one turn in the budget of its program, and settles them when the turn
 * ends. Confined to the traffic loop.
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

    /** Returns whether the call is a turn of a program that has a budget. */
    boolean isRequired() {
        return mAdmission.route().kind() == RouteKind.STREAMING
                && mFacts.programId() != null
                && mFacts.budgetTokens().isPresent()
                && mFacts.maxOutputTokens() > 0;
    }

    /** Reserves the maximum number of tokens that the turn can generate. */
    CompletableFuture<Reservation> reserve() {
        String workspace = mAdmission.workspaceName();
        String program = (workspace == null ? "" : workspace) + "/" + mFacts.programId();
        long limitTokens = mFacts.budgetTokens().getAsLong();
        return mDependencies
                .budgetService()
                .thenCompose(
                        budgets -> budgets.reserve(program, limitTokens, mFacts.maxOutputTokens()));
    }

    /** Sets the granted reservation, which {@link #settle} ends. */
    void setReservation(Reservation reservation) {
        mReservation = reservation;
    }

    /** Releases a reservation that was granted after the call had ended. */
    void releaseUnused(Reservation reservation) {
        if (reservation != null && reservation.outcome() == BudgetOutcome.GRANTED) {
            settle(reservation, mFacts.maxOutputTokens(), false);
        }
    }

    /** Returns whether no turn of the program has run yet. */
    boolean isNewProgram() {
        return mReservation != null && !mReservation.begun();
    }

    /**
     * Ends the turn and releases the tokens that it did not generate.
     *
     * @param service service that ran the turn
     * @param events number of events that were forwarded to the caller
     * @param ran whether a target generated tokens for the turn
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

    /**
     * Returns the reserved tokens that were not generated. If the number of tokens in an event is
     * unknown, all reserved tokens count as generated.
     */
    private long unusedTokens(String service, long events) {
        int tokensPerEvent =
                mAdmission.routing().service(service).map(Service::tokensPerEvent).orElse(0);
        boolean isUsageUnknown = tokensPerEvent == 0 && events > 0;
        long usedTokens = isUsageUnknown ? mFacts.maxOutputTokens() : events * tokensPerEvent;
        return Math.max(0, mFacts.maxOutputTokens() - usedTokens);
    }
}
