package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.heathercourse.daemon.call.CallFixture.chat;
import static org.heathercourse.daemon.call.CallFixture.model;

import org.heathercourse.core.model.Usage;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.daemon.call.CallFixture.Seen;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards answers that go on after an engine has failed. */
class RetryTest {
    private final CallFixture mFixture = new CallFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    private Seen stream() {
        return mFixture.run(model("r"), chat(true, "hello"));
    }

    /** Guards against tokens that are computed again although the engine still holds them. */
    @Test
    void resumesOnTheSameEngineFirst() {
        mFixture.targets.engineScripts.add(FakeTargets.breakAfter(2, "one"));
        Seen seen = stream();
        assertThat(seen.body()).containsOnlyOnce("\"one\"").containsOnlyOnce("\" three\"");
        assertThat(mFixture.targets.generatedAt).containsExactly("e-1", "e-1");
        assertThat(mFixture.targets.generated.get(1).resumeFromToken()).isEqualTo(2);
        assertThat(mFixture.targets.generated.get(1).callId()).isEqualTo("p-1/r");
    }

    /** Guards against pieces that are delivered twice after a restart elsewhere. */
    @Test
    void restartsElsewhereAndSkipsIdenticalPieces() {
        mFixture.targets.engineScripts.add(FakeTargets.breakAfter(2, "one"));
        mFixture.targets.engineScripts.add(
                (request, listener) ->
                        listener.onFailure(
                                new TargetFailure(TargetFailure.Kind.NOT_SENT, 0, "down")));
        Seen seen = stream();
        assertThat(seen.error()).isNull();
        assertThat(seen.body()).containsOnlyOnce("\"one\"").containsOnlyOnce("\" three\"");
        assertThat(mFixture.targets.generatedAt).containsExactly("e-1", "e-1", "e-2");
    }

    /** Guards against an answer put together from two different ones. */
    @Test
    void endsWithAnErrorIfTheRestartedAnswerDiffers() {
        mFixture.targets.engineScripts.add(FakeTargets.breakAfter(2, "other"));
        mFixture.targets.engineScripts.add(FakeTargets.breakAfter(2, "other"));
        Seen seen = stream();
        assertThat(seen.error().kind()).isEqualTo("target_failed");
        assertThat(seen.body()).doesNotContain("one").doesNotContain("[DONE]");
        assertThat(mFixture.log.records(LogRecord.CallFailed.class)).hasSize(1);
    }

    /** Guards against late events of an attempt that was given up. */
    @Test
    void ignoresEventsAfterTheEndOfAnAttempt() {
        EngineClient.Listener[] late = new EngineClient.Listener[1];
        mFixture.targets.engineScripts.add(
                (request, listener) -> {
                    late[0] = listener;
                    listener.onFailure(new TargetFailure(TargetFailure.Kind.BROKEN, 0, "cut"));
                });
        mFixture.targets.engineScripts.add(
                (request, listener) -> {
                    late[0].onToken(0, "late");
                    late[0].onComplete("stop", Usage.NONE);
                    FakeTargets.answer(request, listener);
                });
        assertThat(stream().body()).doesNotContain("late").contains("\"one\"");
    }

    /** Guards against a breaker that never opens, never closes, or lets all probes through. */
    @Test
    void opensProbesAndClosesTheBreaker() {
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
