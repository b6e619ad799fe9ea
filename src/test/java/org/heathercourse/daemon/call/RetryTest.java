package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.heathercourse.daemon.call.CallFixture.chatBody;
import static org.heathercourse.daemon.call.CallFixture.modelCall;

import org.heathercourse.core.model.Usage;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.daemon.call.CallFixture.ObservedAnswer;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of answers that continue after an engine failure, and of the circuit breaker. */
class RetryTest {
    private final CallFixture mFixture = new CallFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    private ObservedAnswer runStreamedCall() {
        return mFixture.run(modelCall("r"), chatBody(true, "hello"));
    }

    /** Guards against tokens that are generated again although the engine still holds them. */
    @Test
    void resumesOnTheSameEngineFirst() {
        mFixture.targets.nextEngineScripts.add(FakeTargets.breakAfter(2, "one"));
        ObservedAnswer observed = runStreamedCall();
        assertThat(observed.body()).containsOnlyOnce("\"one\"").containsOnlyOnce("\" three\"");
        assertThat(mFixture.targets.generateTargets).containsExactly("e-1", "e-1");
        assertThat(mFixture.targets.generateRequests.get(1).resumeFromToken()).isEqualTo(2);
        assertThat(mFixture.targets.generateRequests.get(1).callId()).isEqualTo("p-1/r");
    }

    /** Guards against pieces that are delivered twice after a restart elsewhere. */
    @Test
    void restartsElsewhereAndSkipsIdenticalPieces() {
        mFixture.targets.nextEngineScripts.add(FakeTargets.breakAfter(2, "one"));
        mFixture.targets.nextEngineScripts.add(
                (request, listener) ->
                        listener.onFailure(
                                new TargetFailure(TargetFailure.Kind.NOT_SENT, 0, "down")));
        ObservedAnswer observed = runStreamedCall();
        assertThat(observed.error()).isNull();
        assertThat(observed.body()).containsOnlyOnce("\"one\"").containsOnlyOnce("\" three\"");
        assertThat(mFixture.targets.generateTargets).containsExactly("e-1", "e-1", "e-2");
    }

    /** Guards against an answer that mixes two different attempts. */
    @Test
    void failsIfTheRestartedAnswerDiffers() {
        mFixture.targets.nextEngineScripts.add(FakeTargets.breakAfter(2, "other"));
        mFixture.targets.nextEngineScripts.add(FakeTargets.breakAfter(2, "other"));
        ObservedAnswer observed = runStreamedCall();
        assertThat(observed.error().kind()).isEqualTo("target_failed");
        assertThat(observed.body()).doesNotContain("one").doesNotContain("[DONE]");
        assertThat(mFixture.log.records(LogRecord.CallFailed.class)).hasSize(1);
    }

    /** Guards against late events of an attempt that has ended. */
    @Test
    void ignoresEventsAfterTheEndOfAnAttempt() {
        EngineClient.Listener[] endedAttempt = new EngineClient.Listener[1];
        mFixture.targets.nextEngineScripts.add(
                (request, listener) -> {
                    endedAttempt[0] = listener;
                    listener.onFailure(new TargetFailure(TargetFailure.Kind.BROKEN, 0, "cut"));
                });
        mFixture.targets.nextEngineScripts.add(
                (request, listener) -> {
                    endedAttempt[0].onToken(0, "late");
                    endedAttempt[0].onComplete("stop", Usage.NONE);
                    FakeTargets.answer(request, listener);
                });
        assertThat(runStreamedCall().body()).doesNotContain("late").contains("\"one\"");
    }

    /**
     * Guards against a breaker that never opens, never closes, or admits several probes at once.
     */
    @Test
    void breakerOpensThenProbesThenCloses() {
        ManualTicker ticker = new ManualTicker();
        CircuitBreaker breaker = new CircuitBreaker();
        for (int i = 0; i < 3; i++) {
            assertThat(breaker.permits(ticker.readMillis())).isTrue();
            breaker.onFailure(ticker.readMillis());
        }
        assertThat(breaker.permits(ticker.readMillis())).isFalse();
        ticker.advanceMillis(1001);
        assertThat(breaker.permits(ticker.readMillis())).isTrue();
        breaker.onDispatch(ticker.readMillis());
        assertThat(breaker.permits(ticker.readMillis())).isFalse();
        breaker.onFailure(ticker.readMillis());
        ticker.advanceMillis(1001);
        assertThat(breaker.permits(ticker.readMillis())).isFalse();
        ticker.advanceMillis(1001);
        assertThat(breaker.permits(ticker.readMillis())).isTrue();
        breaker.onSuccess();
        assertThat(breaker.state()).isEqualTo(CircuitBreaker.State.CLOSED);
    }
}
