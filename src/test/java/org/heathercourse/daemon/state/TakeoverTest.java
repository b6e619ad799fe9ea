package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.program.CallState;
import org.heathercourse.core.program.ProgramState;
import org.junit.jupiter.api.Test;

/** Changes of owner after a crash or a pause of the owner. */
class TakeoverTest {
    private static final ProgramId P = new ProgramId("p1");
    private static final RequestId R = new RequestId("r1");

    private final Fleet mFleet = new Fleet(4);

    private StateEngine startWithIntent() {
        mFleet.add("a", 1);
        mFleet.add("b", 1);
        mFleet.runSeconds(4);
        StateEngine owner = mFleet.owner(P);
        CompletableFuture<Void> done =
                owner.append(P, List.of(Fleet.started(P, 100, 30), Fleet.intent(P, "r1")));
        Fleet.flush(owner);
        assertThat(done).isCompleted();
        return owner;
    }

    /** Guards against intents of a dead owner that run again, and reservations that are lost. */
    @Test
    void intentIsUnknownAndReservationSpentOnceAfterTwoTakeovers() {
        StateEngine first = startWithIntent();
        mFleet.stop(first.self().vm().value());
        mFleet.runSeconds(9);
        StateEngine second = mFleet.owner(P);
        ProgramState state = second.find(P).orElseThrow();
        assertThat(state.calls().get(R).state()).isEqualTo(CallState.UNKNOWN);
        assertThat(state.spentTokens()).isEqualTo(30);
        second.append(P, List.of(Fleet.completed(P, "r2", 5, 20)));
        Fleet.flush(second);

        mFleet.add("c", 1);
        mFleet.stop(second.self().vm().value());
        mFleet.runSeconds(10);
        state = mFleet.owner(P).find(P).orElseThrow();
        assertThat(state.calls().get(R).state()).isEqualTo(CallState.UNKNOWN);
        assertThat(state.spentTokens()).isEqualTo(30 + 5 + 20);
        assertThat(state.reservedTokens()).isZero();
    }

    /** Guards against a write of a paused owner after a takeover of its shard. */
    @Test
    void appendOfPausedOwnerAfterTakeoverFails() {
        StateEngine paused = startWithIntent();
        mFleet.stop(paused.self().vm().value());
        mFleet.runSeconds(9);
        StateEngine successor = mFleet.owner(P);
        assertThat(paused.fence(ShardId.of(P, 4))).isEmpty();
        CompletableFuture<Void> late =
                paused.append(P, List.of(Fleet.completed(P, "r1", 1, 0, "late")));
        Fleet.flush(paused);
        assertThat(Fleet.failureKind(late)).isEqualTo("ownership_lost");
        Fleet.flush(successor);
        assertThat(successor.find(P).orElseThrow().calls().get(R).state())
                .isEqualTo(CallState.UNKNOWN);
    }
}
