package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.plain;
import static org.heathercourse.daemon.call.CallFixture.read;

import java.util.List;
import org.assertj.core.api.Assertions;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.LogRecord.CallFailed;
import org.heathercourse.core.program.LogRecord.IntentRecorded;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallFixture.Seen;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards calls that may not be repeated, and what is said about whether they ran. */
class AtMostOnceTest {
    private final CallFixture mFixture =
            new CallFixture(
                    CallSettings.DEFAULT.withIntentTimeoutMillis(200),
                    FakeShards.alone(),
                    Ticker.system());

    @AfterEach
    void close() {
        mFixture.close();
    }

    private Seen pay(String identity) {
        return mFixture.run(plain(identity, "/pay"), bytes("42"));
    }

    private void targetFails(TargetFailure.Kind kind) {
        mFixture.targets.plain =
                (address, request) -> {
                    throw FakeTargets.failure(address, kind);
                };
    }

    /** Guards against a dispatch before the intent is durable. */
    @Test
    void dispatchesOnlyAfterTheIntentIsDurable() {
        mFixture.targets.plain =
                (address, request) -> {
                    assertThat(mFixture.log.records(IntentRecorded.class)).hasSize(1);
                    return FakeTargets.ok("paid");
                };
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer = mFixture.executor.submit(plain("r", "/pay").build(), bytes("42"));
        await().until(() -> !mFixture.log.records(IntentRecorded.class).isEmpty());
        assertThat(mFixture.targets.sent).isEmpty();
        mFixture.log.release();
        assertThat(read(answer).body()).isEqualTo("paid");
        assertThat(mFixture.targets.sent.get(0).headers().get("X-Fencing-Token"))
                .containsExactly("7");
    }

    /** Guards against a call that is refused as not run and dispatched later all the same. */
    @Test
    void neverDispatchesCallWhoseIntentCameTooLate() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        Seen refused = pay("r");
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        mFixture.log.release();
        assertThat(mFixture.log.records().get(2)).isInstanceOf(CallFailed.class);
        assertThat(mFixture.log.records(CallFailed.class).get(0).notRun()).isTrue();
        assertThat(mFixture.targets.sent).isEmpty();
        assertThat(pay("r").body()).isEqualTo("done");
        assertThat(mFixture.targets.sent).hasSize(1);
    }

    /** Guards against an intent that is written although the call was refused. */
    @Test
    void writesNothingWhileTheStoreIsDown() {
        mFixture.log.down = true;
        Seen refused = pay("r");
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.log.records()).isEmpty();
    }

    /** Guards against a dispatch by a daemon that lost the shard with the intent. */
    @Test
    void doesNotDispatchWhenTheShardIsLost() {
        mFixture.log.mode = FakeLog.Mode.LOST;
        Seen lost = pay("r");
        assertThat(lost.error().kind()).isEqualTo("ownership_lost");
        assertThat(mFixture.targets.sent).isEmpty();
    }

    /** Guards against a dispatch under another fence than the intent's. */
    @Test
    void doesNotDispatchUnderNewFence() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer = mFixture.executor.submit(plain("r", "/pay").build(), bytes("42"));
        await().until(() -> !mFixture.log.records(IntentRecorded.class).isEmpty());
        mFixture.shards.fence = 8;
        mFixture.log.release();
        assertThat(read(answer).error().kind()).isEqualTo("ownership_lost");
        assertThat(mFixture.targets.sent).isEmpty();
    }

    /** Guards against a second run after the owner died between intent and outcome. */
    @Test
    void reportsUnknownAfterTakeover() {
        pay("other");
        targetFails(TargetFailure.Kind.BROKEN);
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(
                        new IntentRecorded(
                                CallFixture.PROGRAM,
                                new RequestId("r"),
                                Job.digest(plain("r", "/pay").build(), bytes("42")),
                                new TargetId("t-1"),
                                7)));
        mFixture.log.takeOver();
        Seen unknown = pay("r");
        assertThat(unknown.error().kind()).isEqualTo("outcome_unknown");
        assertThat(unknown.error().notRun()).isFalse();
        assertThat(mFixture.targets.sent).hasSize(1);
    }

    /** Guards against a repeat after a failure that leaves the outcome open. */
    @Test
    void reportsUnknownAndNeverRepeatsAfterBrokenAttempt() {
        targetFails(TargetFailure.Kind.TIMEOUT);
        assertThat(pay("r").error().kind()).isEqualTo("outcome_unknown");
        Seen again = pay("r");
        assertThat(again.error().kind()).isEqualTo("outcome_unknown");
        assertThat(again.error().notRun()).isFalse();
        mFixture.targets.plain = (address, request) -> FakeTargets.broken();
        Seen body = pay("r2");
        assertThat(body.error().kind()).isEqualTo("outcome_unknown");
        assertThat(body.error().notRun()).isFalse();
        assertThat(mFixture.targets.sent).hasSize(2);
    }

    /** Guards against a call that is blocked for ever by an attempt that provably did not run. */
    @Test
    void mayRunAgainAfterFailureThatProvesNotRun() {
        targetFails(TargetFailure.Kind.NOT_SENT);
        Seen refused = pay("r");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.targets.sent).hasSize(1);
        mFixture.targets.plain = (address, request) -> FakeTargets.ok("paid");
        assertThat(pay("r").body()).isEqualTo("paid");
        assertThat(mFixture.log.records(CallFailed.class).get(0).notRun()).isTrue();
        for (int i = 0; i < 200; i++) {
            targetFails(TargetFailure.Kind.NOT_SENT);
            pay("again" + i);
            mFixture.targets.plain = (address, request) -> FakeTargets.ok("paid");
            Seen repeated = pay("again" + i);
            assertThat(repeated.error()).as("repeat %s right after the failure", i).isNull();
        }
    }

    /** Guards against an answer delivered as durable before its record is. */
    @Test
    void deliversTheAnswerAsPendingWhenTheStoreFailsAfterTheIntent() {
        mFixture.targets.plain =
                (address, request) -> {
                    mFixture.log.mode = FakeLog.Mode.HELD;
                    mFixture.log.down = true;
                    return FakeTargets.ok("paid");
                };
        Seen seen = pay("r");
        assertThat(seen.body()).isEqualTo("paid");
        assertThat(seen.durability()).isEqualTo("pending");
        assertThat(seen.head().headers().get("X-Durability")).containsExactly("pending");
    }

    /** Guards against a dispatch long after the commit, when a successor may have begun. */
    @Test
    void doesNotDispatchLongAfterTheCommit() {
        ManualTicker ticker = new ManualTicker();
        try (CallFixture fixture =
                new CallFixture(CallSettings.DEFAULT, FakeShards.alone(), ticker)) {
            Job job = new Job(fixture.services, plain("r", "/pay").build(), bytes("1"), null);
            PlainOutcomes outcomes =
                    new PlainOutcomes(fixture.services, fixture.executor.recorder(), job) {
                        @Override
                        void committed() {
                            ticker.advanceMillis(1001);
                        }
                    };
            Assertions.assertThatThrownBy(() -> outcomes.commitIntent(new TargetId("t-1")))
                    .hasMessageContaining("not dispatched in time");
            assertThat(fixture.log.records(CallFailed.class)).hasSize(1);
        }
    }

    /** Guards against a retry of a call that may be repeated being refused or unbounded. */
    @Test
    void repeatsIdempotentCallsElsewhereWithinTheBudget() {
        targetFails(TargetFailure.Kind.BROKEN);
        Seen failed = mFixture.run(plain("r", "/x"), bytes(""));
        assertThat(failed.error().kind()).isEqualTo(ErrorKind.TARGET_FAILED.wireName());
        assertThat(failed.error().notRun()).isFalse();
        assertThat(mFixture.targets.sent).hasSizeBetween(2, 5);
        LogRecord last = mFixture.log.records().get(mFixture.log.records().size() - 1);
        assertThat(last).isInstanceOf(CallFailed.class);
    }
}
