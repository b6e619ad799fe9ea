package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;
import static org.heathercourse.daemon.call.CallFixture.PROGRAM;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.chat;
import static org.heathercourse.daemon.call.CallFixture.model;
import static org.heathercourse.daemon.call.CallFixture.plain;
import static org.heathercourse.daemon.call.CallFixture.read;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.assertj.core.api.Assertions;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.LogRecord.CallCompleted;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.call.CallFixture.Seen;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the owner side of calls: order, repeats, history, budget and cache releases. */
class CallExecutorTest {
    private final CallFixture mFixture = new CallFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against an answer that differs between the caller and the record. */
    @Test
    void streamsAnAnswerAndRecordsIt() {
        Seen seen = mFixture.run(model("r1"), chat(true, "hello"));
        assertThat(seen.error()).isNull();
        assertThat(seen.body()).contains("\"content\":\" two\"").endsWith("data: [DONE]\n\n");
        assertThat(seen.durability()).isEqualTo("durable");
        CallCompleted record = mFixture.log.records(CallCompleted.class).get(0);
        assertThat(new String(record.answer())).isEqualTo(seen.body());
        assertThat(record.messages()).hasSize(2);
        assertThat(record.messages().get(1).content()).isEqualTo("one two three");
        await().until(() -> mFixture.shards.uses.get() == 0);
    }

    /** Guards against two calls of one program that run at once or in another order. */
    @Test
    void runsCallsOfProgramOneAtTimeInOrder() {
        AtomicInteger running = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        mFixture.targets.plain =
                (address, request) -> {
                    most.accumulateAndGet(running.incrementAndGet(), Math::max);
                    Thread.yield();
                    running.decrementAndGet();
                    return FakeTargets.ok("ok");
                };
        List<AnswerBuffer> answers = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            expected.add("body" + i);
            answers.add(mFixture.executor.submit(plain("r" + i, "/x").build(), bytes("body" + i)));
        }
        answers.forEach(a -> assertThat(read(a).error()).isNull());
        assertThat(most.get()).isEqualTo(1);
        assertThat(mFixture.targets.bodies).isEqualTo(expected);
    }

    /** Guards against a queue without bound in front of one program. */
    @Test
    void refusesCallsBeyondTheQueue() {
        CountDownLatch go = hold();
        for (int i = 0; i <= CallSettings.DEFAULT.maxQueuedPerProgram(); i++) {
            mFixture.executor.submit(plain("r" + i, "/x").build(), bytes(""));
        }
        Seen refused = mFixture.run(plain("more", "/x"), bytes(""));
        assertThat(refused.error().kind()).isEqualTo("overloaded");
        assertThat(refused.error().notRun()).isTrue();
        go.countDown();
    }

    private CountDownLatch hold() {
        CountDownLatch go = new CountDownLatch(1);
        mFixture.targets.plain =
                (address, request) -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    return FakeTargets.ok("held");
                };
        return go;
    }

    /** Guards against a repeat that runs again, and against one that misses the start. */
    @Test
    void attachesRepeatsToTheRunningAttemptAndTheRecord() {
        CountDownLatch go = new CountDownLatch(1);
        mFixture.targets.engine =
                (request, listener) -> {
                    listener.onToken(0, "one");
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    FakeTargets.answer(resumed(request), listener);
                };
        AnswerBuffer first = mFixture.executor.submit(model("r").build(), chat(true, "a"));
        await().until(() -> !first.untouched());
        AnswerBuffer second = mFixture.executor.submit(model("r").build(), chat(true, "a"));
        go.countDown();
        Seen one = read(first);
        assertThat(read(second).body()).isEqualTo(one.body()).contains("\"one\"");
        assertThat(mFixture.run(model("r"), chat(true, "a")).body()).isEqualTo(one.body());
        assertThat(mFixture.targets.generated).hasSize(1);
    }

    private static EngineClient.GenerateRequest resumed(EngineClient.GenerateRequest r) {
        return new EngineClient.GenerateRequest(
                r.model(),
                r.messages(),
                r.maxTokens(),
                r.session(),
                r.callId(),
                1,
                r.priority(),
                r.fence(),
                r.timeoutMillis(),
                r.extraJson());
    }

    /** Guards against an answer to another body under a reused identity. */
    @Test
    void refusesAnotherBodyUnderTheSameIdentity() {
        CountDownLatch go = hold();
        AnswerBuffer running = mFixture.executor.submit(plain("r", "/x").build(), bytes("a"));
        Seen whileRunning = mFixture.run(plain("r", "/x"), bytes("b"));
        go.countDown();
        assertThat(read(running).body()).isEqualTo("held");
        Seen afterwards = mFixture.run(plain("r", "/x"), bytes("b"));
        assertThat(whileRunning.error().kind()).isEqualTo("identity_conflict");
        assertThat(afterwards.error().kind()).isEqualTo("identity_conflict");
        assertThat(mFixture.targets.sent).hasSize(1);
    }

    /** Guards against a history that is lost, mixed or forked. */
    @Test
    void keepsHistoryInBothModes() {
        mFixture.run(model("r1"), chat(false, "a"));
        Seen forked = mFixture.run(model("r2"), chat(false, "other", "one two three", "b"));
        assertThat(forked.error().kind()).isEqualTo("history_mismatch");
        Seen short1 = mFixture.run(model("r3"), chat(false, "a"));
        assertThat(short1.error().kind()).isEqualTo("history_mismatch");
        Seen full = mFixture.run(model("r4"), chat(false, "a", "one two three", "b"));
        assertThat(full.error()).isNull();
        CallRequest.Builder append = model("r5").historyMode(HistoryMode.APPEND);
        assertThat(mFixture.run(append, chat(false, "c")).error()).isNull();
        var sent = mFixture.targets.generated.get(2).messages();
        assertThat(sent.stream().map(m -> m.content()))
                .containsExactly("a", "one two three", "b", "one two three", "c");
        assertThat(state().history()).hasSize(6);
    }

    private ProgramState state() {
        return mFixture.log.find(PROGRAM).orElseThrow();
    }

    /** Guards against a workspace that reads or extends another one's program. */
    @Test
    void hidesProgramsOfOtherWorkspaces() {
        mFixture.run(model("r1"), chat(false, "a"));
        CallRequest.Builder other = model("r1").workspace(new WorkspaceId("other"));
        Seen seen = mFixture.run(other, chat(false, "a"));
        assertThat(seen.error().kind()).isEqualTo("unknown_program");
        assertThat(mFixture.targets.generated).hasSize(1);
    }

    /** Guards against a program that spends beyond its budget. */
    @Test
    void neverSpendsBeyondTheBudget() {
        mFixture.config.now = CallFixture.declared(20);
        assertThat(mFixture.run(model("r1"), chat(false, "a")).error()).isNull();
        CallRequest.Builder append = model("r2").historyMode(HistoryMode.APPEND);
        Seen refused = mFixture.run(append, chat(false, "b"));
        assertThat(refused.error().kind()).isEqualTo("budget_exceeded");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(state().spentTokens()).isEqualTo(6);
        assertThat(state().spentTokens() + state().reservedTokens()).isLessThanOrEqualTo(20);
    }

    /** Guards against a model call that is dispatched before its reservation is durable. */
    @Test
    void waitsForTheReservationBeforeDispatch() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer = mFixture.executor.submit(model("r").build(), chat(false, "a"));
        await().until(() -> !mFixture.log.records().isEmpty());
        assertThat(mFixture.targets.generated).isEmpty();
        mFixture.log.release();
        assertThat(read(answer).error()).isNull();
    }

    /** Guards against answers that are held back, or passed off as durable, in an outage. */
    @Test
    void deliversAsPendingWhileTheStoreIsDown() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        mFixture.log.down = true;
        Seen seen = mFixture.run(model("r"), chat(false, "a"));
        assertThat(seen.durability()).isEqualTo("pending");
        assertThat(seen.head().headers().get("X-Durability")).containsExactly("pending");
        assertThat(mFixture.run(model("r"), chat(false, "a")).durability()).isEqualTo("pending");
        mFixture.log.pending = 65L << 20;
        Seen refused = mFixture.run(model("r2"), chat(false, "a", "one two three", "b"));
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
    }

    /** Guards against an answer delivered as pending that only the memory of this daemon holds. */
    @Test
    void waitsForTheStoreIfAnAnswerCannotBeCopied() {
        mFixture.targets.plain =
                (address, request) -> {
                    mFixture.log.mode = FakeLog.Mode.HELD;
                    mFixture.log.down = true;
                    mFixture.log.replicable = false;
                    return FakeTargets.ok("paid");
                };
        AnswerBuffer answer = mFixture.executor.submit(plain("r", "/pay").build(), bytes("1"));
        await().until(() -> mFixture.log.replications.get() > 1);
        assertThat(answer.ended()).isFalse();
        assertThat(answer.reader().poll()).isNull();
        mFixture.log.release();
        assertThat(read(answer).durability()).isEqualTo("durable");
    }

    /** Guards against a call whose spending is forgotten if this daemon dies in an outage. */
    @Test
    void doesNotDispatchIfTheReservationCanNeitherBeWrittenNorCopied() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        mFixture.log.down = true;
        mFixture.log.replicable = false;
        Seen refused = mFixture.run(model("r"), chat(false, "a"));
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.targets.generated).isEmpty();
    }

    /** Guards against engine memory held by programs that have ended. */
    @Test
    void releasesCacheUntilConfirmed() {
        mFixture.targets.releaseFails = true;
        mFixture.run(model("r"), chat(false, "a"));
        assertThat(mFixture.log.records(LogRecord.CacheReleaseOwed.class)).hasSize(1);
        new ProgramOps(mFixture.executor).run(op("end", "{}"));
        mFixture.targets.releaseFails = false;
        await().until(() -> state().cacheTargets().isEmpty());
        assertThat(mFixture.targets.released).containsExactly("e-1/hc.p-1");
        Seen late = mFixture.run(model("r2"), chat(false, "a", "one two three", "b"));
        assertThat(late.error().kind()).isEqualTo("program_ended");
    }

    private static PeerMessage.ProgramOp op(String name, String json) {
        return new PeerMessage.ProgramOp(
                name, CallFixture.WORKSPACE.value(), PROGRAM.value(), json);
    }

    /** Guards against sub-agents that spend more than their parent has. */
    @Test
    void carvesTheBudgetOfSubAgentOnce() {
        ProgramOps ops = new ProgramOps(mFixture.executor);
        ops.run(op("start", "{\"budget_tokens\":100}"));
        String carve = "{\"child\":\"c\",\"budget_tokens\":60}";
        assertThat(ops.run(op("carve", carve))).contains("60");
        assertThat(ops.run(op("carve", carve))).contains("60");
        assertThat(state().spentTokens()).isEqualTo(60);
        Assertions.assertThatThrownBy(() -> ops.run(op("carve", carve.replace("\"c\"", "\"d\""))))
                .hasMessageContaining("40 are left");
    }

    /** Guards against an explanation that lacks where a call ran or why it was refused. */
    @Test
    void remembersDecisions() {
        mFixture.run(model("r"), chat(false, "a"));
        mFixture.targets.engine =
                (request, listener) ->
                        listener.onFailure(
                                new TargetFailure(TargetFailure.Kind.REFUSED, 503, "full"));
        mFixture.run(model("s"), chat(false, "b"));
        List<Decision> decisions =
                mFixture.services.decisions().findByProgram(CallFixture.PROGRAM.value(), 100);
        Decision first = decisions.get(0);
        assertThat(first.outcome()).isEqualTo(Decision.Outcome.PLACED);
        assertThat(first.request()).isEqualTo("r");
        assertThat(first.target()).isNotEmpty();
        Decision last = decisions.get(decisions.size() - 1);
        assertThat(last.outcome()).isEqualTo(Decision.Outcome.REFUSED);
        assertThat(last.request()).isEqualTo("s");
        assertThat(last.errorKind()).isNotEmpty();
        assertThat(last.reason()).isNotEmpty();
    }

    /** Guards against programs that are left behind, and releases forgotten by a dead owner. */
    @Test
    void endsIdleProgramsAndReleasesAfterTakeover() {
        mFixture.targets.releaseFails = true;
        mFixture.run(model("r"), chat(false, "a"));
        mFixture.executor.close();
        ManualTicker ticker = new ManualTicker();
        CallDependencies services =
                new CallDependencies(
                        mFixture.log,
                        mFixture.shards,
                        mFixture.config,
                        mFixture.targets,
                        mFixture.targets,
                        new StickySelector(mFixture.config, mFixture.shards),
                        CallSettings.DEFAULT,
                        ticker,
                        new SplittableRandom(5),
                        mFixture.services.decisions());
        ProgramMaintenance successor =
                new ProgramMaintenance(services, new Recorder(services), Runnable::run, p -> false);
        successor.run();
        ticker.advanceMillis(CallSettings.DEFAULT.programIdleTimeoutMillis() - 1);
        successor.run();
        assertThat(state().ended()).isFalse();
        ticker.advanceMillis(1);
        successor.run();
        assertThat(state().endReason()).isEqualTo("idle");
        successor.run();
        assertThat(state().cacheTargets()).hasSize(1);
        mFixture.targets.releaseFails = false;
        ticker.advanceMillis(2000);
        successor.run();
        assertThat(mFixture.targets.released).containsExactly("e-1/hc.p-1");
        assertThat(state().cacheTargets()).isEmpty();
    }

    /** Guards against a process without a configuration that refuses calls for good. */
    @Test
    void asksForAnotherTryWhileThereIsNoConfiguration() {
        DeploymentConfig declared = mFixture.config.now;
        mFixture.config.now = DeploymentConfig.empty();
        Seen early = mFixture.run(plain("r1", "/x"), bytes(""));
        assertThat(early.error().kind()).isEqualTo("ownership_lost");
        assertThat(early.error().notRun()).isTrue();
        mFixture.config.now = declared;
        assertThat(mFixture.run(plain("r1", "/x"), bytes("")).error()).isNull();
    }

    /** Guards against calls that wait in the queue beyond their deadline. */
    @Test
    void refusesQueuedCallsAtTheirDeadline() {
        CountDownLatch go = hold();
        mFixture.executor.submit(plain("r1", "/x").build(), bytes(""));
        Seen late = mFixture.run(plain("r2", "/x").deadlineMillis(50), bytes(""));
        assertThat(late.error().kind()).isEqualTo("deadline_exceeded");
        assertThat(late.error().notRun()).isTrue();
        go.countDown();
    }

    /** Guards against ephemeral calls that go on for a caller who has gone. */
    @Test
    void cancelsEphemeralCallsOnly() {
        mFixture.targets.engine = (request, listener) -> listener.onToken(0, "one");
        CallRequest request =
                CallRequest.builder(CallRequest.Kind.MODEL)
                        .workspace(CallFixture.WORKSPACE)
                        .build();
        AnswerBuffer answer = mFixture.executor.runEphemeral(request, chat(true, "a"), null);
        await().until(() -> !answer.untouched());
        answer.cancel();
        await().until(() -> mFixture.targets.released.size() == 1);
        assertThat(mFixture.targets.generated).hasSize(1);
        AnswerBuffer logged = mFixture.executor.submit(plain("r", "/x").build(), bytes(""));
        logged.cancel();
        assertThat(read(logged).body()).isEqualTo("done");
    }
}
