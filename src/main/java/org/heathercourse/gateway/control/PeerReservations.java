package org.heathercourse.gateway.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.daemon.peer.PeerMessage.BudgetReserve;
import org.heathercourse.daemon.peer.PeerMessage.BudgetSettle;

/**
 * The reservations that other gateways hold at this owner, each of which is settled once.
 *
 * <p>A gateway that gets no reply in time goes on without the owner and gives the reservation up;
 * it repeats that, and each settlement, until the owner replies. Such a message may come before the
 * reservation, while it waits for the store, or several times. Confined to the control thread.
 */
final class PeerReservations {
    /** Maximum number of identities of each kind; a settlement of an older one has no effect. */
    private static final int MAX_IDENTITIES = 4_096;

    private final BudgetLedger mLedger;
    private final Map<String, Boolean> mOpen = new BoundedIdentities();
    private final Map<String, Boolean> mEnded = new BoundedIdentities();

    PeerReservations(BudgetLedger ledger) {
        mLedger = ledger;
    }

    /** The identities added last. */
    private static final class BoundedIdentities extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_IDENTITIES;
        }
    }

    /** Reserves tokens; refuses a reservation that was given up before. */
    CompletableFuture<BudgetLedger.Grant> reserve(BudgetReserve request) {
        if (isGivenUp(request)) {
            return CompletableFuture.completedFuture(refused());
        }
        return mLedger.reserve(request.program(), request.limitTokens(), request.needTokens())
                .thenApply(grant -> hold(request, grant));
    }

    private boolean isGivenUp(BudgetReserve request) {
        return request.reservation() != null && mEnded.containsKey(request.reservation());
    }

    private static BudgetLedger.Grant refused() {
        return new BudgetLedger.Grant(BudgetOutcome.UNAVAILABLE, false);
    }

    /** Keeps a granted reservation, or releases it if it was given up while it waited. */
    private BudgetLedger.Grant hold(BudgetReserve request, BudgetLedger.Grant grant) {
        if (grant.outcome() != BudgetOutcome.GRANTED || request.reservation() == null) {
            return grant;
        }
        if (isGivenUp(request)) {
            mLedger.settle(request.program(), request.needTokens(), false);
            return refused();
        }
        mOpen.put(request.reservation(), true);
        return grant;
    }

    /** Settles a reservation, unless that was done before. */
    void settle(BudgetSettle message) {
        String reservation = message.reservation();
        if (reservation == null || mOpen.remove(reservation) != null) {
            mLedger.settle(message.program(), message.unusedTokens(), message.ran());
        }
        if (reservation != null) {
            mEnded.put(reservation, true);
        }
    }
}
