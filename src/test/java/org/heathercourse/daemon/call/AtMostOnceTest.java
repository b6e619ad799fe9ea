package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.plainCall;
import static org.heathercourse.daemon.call.CallFixture.readAnswer;

import java.util.List;
import org.assertj.core.api.Assertions;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.LogRecord.CallFailed;
import org.heathercourse.core.program.LogRecord.IntentRecorded;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallFixture.ObservedAnswer;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that non-idempotent calls run at most once and that errors report correctly whether they
 * ran.
 */
class AtMostOnceTest {
    private final CallFixture mFixture =
            new CallFixture(
                    CallSettings.DEFAULT.withIntentTimeoutMillis(200),
                    FakeShards.ownerOfAll(),
                    Ticker.system());

    @AfterEach
    void close() {
        mFixture.close();
    }

    private ObservedAnswer runPayment(String identity) {
        return mFixture.run(plainCall(identity, "/pay"), bytes("42"));
    }

    private void failTargetWith(TargetFailure.Kind kind) {
        mFixture.targets.plainScript =
                (address, request) -> {
                    throw FakeTargets.failure(address, kind);
                };
    }

    /** Guards against a dispatch before the intent is durable. */
    @Test
    void dispatchesOnlyAfterTheIntentIsDurable() {
        mFixture.targets.plainScript =
                (address, request) -> {
                    assertThat(mFixture.log.records(IntentRecorded.class)).hasSize(1);
                    return FakeTargets.okResponse("paid");
                };
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer = mFixture.executor.submit(plainCall("r", "/pay").build(), bytes("42"));
        await().until(() -> !mFixture.log.records(IntentRecorded.class).isEmpty());
        assertThat(mFixture.targets.plainRequests).isEmpty();
        mFixture.log.releaseStore();
        assertThat(readAnswer(answer).body()).isEqualTo("paid");
        assertThat(mFixture.targets.plainRequests.get(0).headers().get("X-Fencing-Token"))
                .containsExactly("7");
    }

    /** Guards against a call that is refused as not run but dispatched later. */
    @Test
    void neverDispatchesCallWhoseIntentTimedOut() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        ObservedAnswer refused = runPayment("r");
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        mFixture.log.releaseStore();
        assertThat(mFixture.log.records().get(2)).isInstanceOf(CallFailed.class);
        assertThat(mFixture.log.records(CallFailed.class).get(0).notRun()).isTrue();
        assertThat(mFixture.targets.plainRequests).isEmpty();
        assertThat(runPayment("r").body()).isEqualTo("done");
        assertThat(mFixture.targets.plainRequests).hasSize(1);
    }

    /** Guards against an intent that is written although the call was refused. */
    @Test
    void writesNothingWhileTheStoreIsDown() {
        mFixture.log.storeDown = true;
        ObservedAnswer refused = runPayment("r");
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.log.records()).isEmpty();
    }

    /** Guards against a dispatch by a daemon that lost the shard before the intent was durable. */
    @Test
    void doesNotDispatchWhenTheShardIsLost() {
        mFixture.log.mode = FakeLog.Mode.LOST;
        ObservedAnswer lost = runPayment("r");
        assertThat(lost.error().kind()).isEqualTo("ownership_lost");
        assertThat(mFixture.targets.plainRequests).isEmpty();
    }

    /** Guards against a dispatch with another fencing number than that of the intent. */
    @Test
    void doesNotDispatchUnderNewFence() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer = mFixture.executor.submit(plainCall("r", "/pay").build(), bytes("42"));
        await().until(() -> !mFixture.log.records(IntentRecorded.class).isEmpty());
        mFixture.shards.fence = 8;
        mFixture.log.releaseStore();
        assertThat(readAnswer(answer).error().kind()).isEqualTo("ownership_lost");
        assertThat(mFixture.targets.plainRequests).isEmpty();
    }

    /** Guards against a second run after the owner died between the intent and the outcome. */
    @Test
    void reportsUnknownOutcomeAfterTakeover() {
        runPayment("other");
        failTargetWith(TargetFailure.Kind.BROKEN);
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(
                        new IntentRecorded(
                                CallFixture.PROGRAM,
                                new RequestId("r"),
                                Job.digest(plainCall("r", "/pay").build(), bytes("42")),
                                new TargetId("t-1"),
                                7)));
        mFixture.log.applyTakeover();
        ObservedAnswer unknown = runPayment("r");
        assertThat(unknown.error().kind()).isEqualTo("outcome_unknown");
        assertThat(unknown.error().notRun()).isFalse();
        assertThat(mFixture.targets.plainRequests).hasSize(1);
    }

    /** Guards against a repeat after a failure that leaves the outcome unknown. */
    @Test
    void reportsUnknownOutcomeAndNeverRepeatsAfterBrokenAttempt() {
        failTargetWith(TargetFailure.Kind.TIMEOUT);
        assertThat(runPayment("r").error().kind()).isEqualTo("outcome_unknown");
        ObservedAnswer again = runPayment("r");
        assertThat(again.error().kind()).isEqualTo("outcome_unknown");
        assertThat(again.error().notRun()).isFalse();
        mFixture.targets.plainScript = (address, request) -> FakeTargets.brokenResponse();
        ObservedAnswer body = runPayment("r2");
        assertThat(body.error().kind()).isEqualTo("outcome_unknown");
        assertThat(body.error().notRun()).isFalse();
        assertThat(mFixture.targets.plainRequests).hasSize(2);
    }

    /** Guards against a call that stays blocked after an attempt that provably did not run. */
    @Test
    void mayRunAgainAfterFailureThatProvesNotRun() {
        failTargetWith(TargetFailure.Kind.NOT_SENT);
        ObservedAnswer refused = runPayment("r");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.targets.plainRequests).hasSize(1);
        mFixture.targets.plainScript = (address, request) -> FakeTargets.okResponse("paid");
        assertThat(runPayment("r").body()).isEqualTo("paid");
        assertThat(mFixture.log.records(CallFailed.class).get(0).notRun()).isTrue();
        for (int i = 0; i < 200; i++) {
            failTargetWith(TargetFailure.Kind.NOT_SENT);
            runPayment("again" + i);
            mFixture.targets.plainScript = (address, request) -> FakeTargets.okResponse("paid");
            ObservedAnswer repeated = runPayment("again" + i);
            assertThat(repeated.error()).as("repeat %s right after the failure", i).isNull();
        }
    }

    /** Guards against an answer that is reported as durable before its record is durable. */
    @Test
    void deliversTheAnswerAsPendingWhenTheStoreFailsAfterTheIntent() {
        mFixture.targets.plainScript =
                (address, request) -> {
                    mFixture.log.mode = FakeLog.Mode.HELD;
                    mFixture.log.storeDown = true;
                    return FakeTargets.okResponse("paid");
                };
        ObservedAnswer observed = runPayment("r");
        assertThat(observed.body()).isEqualTo("paid");
        assertThat(observed.durability()).isEqualTo("pending");
        assertThat(observed.head().headers().get("X-Durability")).containsExactly("pending");
    }

    /** Guards against a dispatch long after the commit, when another daemon may own the shard. */
    @Test
    void doesNotDispatchLongAfterTheCommit() {
        ManualTicker ticker = new ManualTicker();
        try (CallFixture fixture =
                new CallFixture(CallSettings.DEFAULT, FakeShards.ownerOfAll(), ticker)) {
            Job job =
                    new Job(fixture.dependencies, plainCall("r", "/pay").build(), bytes("1"), null);
            PlainCallRecorder outcomes =
                    new PlainCallRecorder(fixture.dependencies, fixture.executor.recorder(), job) {
                        @Override
                        void afterIntentCommit() {
                            ticker.advanceMillis(1001);
                        }
                    };
            Assertions.assertThatThrownBy(() -> outcomes.commitIntent(new TargetId("t-1")))
                    .hasMessageContaining("not dispatched in time");
            assertThat(fixture.log.records(CallFailed.class)).hasSize(1);
        }
    }

    /** Guards against idempotent calls that are not retried or are retried without limit. */
    @Test
    void retriesIdempotentCallsElsewhereWithinTheBudget() {
        failTargetWith(TargetFailure.Kind.BROKEN);
        ObservedAnswer failed = mFixture.run(plainCall("r", "/x"), bytes(""));
        assertThat(failed.error().kind()).isEqualTo(ErrorKind.TARGET_FAILED.wireName());
        assertThat(failed.error().notRun()).isFalse();
        assertThat(mFixture.targets.plainRequests).hasSizeBetween(2, 5);
        LogRecord last = mFixture.log.records().get(mFixture.log.records().size() - 1);
        assertThat(last).isInstanceOf(CallFailed.class);
    }
}
