package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.daemon.peer.PeerMessage.BudgetReserve;
import org.heathercourse.daemon.peer.PeerMessage.BudgetSettle;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/**
 * Guards against reservations that are released twice, or never, whatever the order of messages.
 */
class PeerReservationsTest {
    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final BudgetLedger mLedger =
            new BudgetLedger(new MemoryRows(), mExecutor, mTime.ticker(), "g/");
    private final PeerReservations mReservations = new PeerReservations(mLedger);

    private BudgetOutcome reserve(String id, long needTokens) {
        CompletableFuture<BudgetLedger.Grant> grant =
                mReservations.reserve(new BudgetReserve("w/p", id, 1_000, needTokens));
        for (int i = 0; i < 200 && !grant.isDone(); i++) {
            mExecutor.advance(20);
        }
        return grant.join().outcome();
    }

    private void settle(String id, long unusedTokens) {
        mReservations.settle(new BudgetSettle("w/p", id, unusedTokens, false));
    }

    @Test
    void settlesOnce() {
        assertThat(reserve("a", 600)).isEqualTo(BudgetOutcome.GRANTED);
        assertThat(reserve("b", 400)).isEqualTo(BudgetOutcome.GRANTED);
        settle("a", 600);
        settle("a", 600);
        assertThat(reserve("c", 601)).as("b still holds 400").isEqualTo(BudgetOutcome.EXHAUSTED);
        assertThat(reserve("d", 600)).isEqualTo(BudgetOutcome.GRANTED);
    }

    @Test
    void refusesReservationThatWasGivenUpBefore() {
        settle("a", 1_000);
        assertThat(reserve("a", 1_000)).isEqualTo(BudgetOutcome.UNAVAILABLE);
        assertThat(reserve("b", 1_000)).isEqualTo(BudgetOutcome.GRANTED);
    }

    @Test
    void releasesReservationThatIsGivenUpWhileItWaits() {
        CompletableFuture<BudgetLedger.Grant> waiting =
                mReservations.reserve(new BudgetReserve("w/p", "a", 1_000, 1_000));
        settle("a", 1_000);
        mExecutor.advance(20);
        assertThat(waiting.join().outcome()).isNotEqualTo(BudgetOutcome.EXHAUSTED);
        settle("a", 1_000);
        assertThat(reserve("b", 1_000)).isEqualTo(BudgetOutcome.GRANTED);
    }

    /** Guards against tokens that are never released for a gateway of an earlier version. */
    @Test
    void messagesWithoutIdentityAreSettledAsBefore() {
        assertThat(reserve(null, 1_000)).isEqualTo(BudgetOutcome.GRANTED);
        settle(null, 1_000);
        assertThat(reserve(null, 1_000)).isEqualTo(BudgetOutcome.GRANTED);
    }
}
