package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;
import static org.heathercourse.daemon.call.CallFixture.PROGRAM;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.chatBody;
import static org.heathercourse.daemon.call.CallFixture.modelCall;
import static org.heathercourse.daemon.call.CallFixture.plainCall;
import static org.heathercourse.daemon.call.CallFixture.readAnswer;

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
import org.heathercourse.daemon.call.CallFixture.ObservedAnswer;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the execution of calls: order, repeats, history, budget and cache releases. */
class CallExecutorTest {
    private final CallFixture mFixture = new CallFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against a recorded answer that differs from the delivered one. */
    @Test
    void streamsAnAnswerAndRecordsIt() {
        ObservedAnswer observed = mFixture.run(modelCall("r1"), chatBody(true, "hello"));
        assertThat(observed.error()).isNull();
        assertThat(observed.body()).contains("\"content\":\" two\"").endsWith("data: [DONE]\n\n");
        assertThat(observed.durability()).isEqualTo("durable");
        CallCompleted record = mFixture.log.records(CallCompleted.class).get(0);
        assertThat(new String(record.answer())).isEqualTo(observed.body());
        assertThat(record.messages()).hasSize(2);
        assertThat(record.messages().get(1).content()).isEqualTo("one two three");
        await().until(() -> mFixture.shards.useCount.get() == 0);
    }

    /** Guards against calls of one program that run concurrently or out of order. */
    @Test
    void runsCallsOfProgramSequentiallyInOrder() {
        AtomicInteger running = new AtomicInteger();
        AtomicInteger maxRunning = new AtomicInteger();
        mFixture.targets.plainScript =
                (address, request) -> {
                    maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                    Thread.yield();
                    running.decrementAndGet();
                    return FakeTargets.okResponse("ok");
                };
        List<AnswerBuffer> answers = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            expected.add("body" + i);
            answers.add(
                    mFixture.executor.submit(plainCall("r" + i, "/x").build(), bytes("body" + i)));
        }
        answers.forEach(a -> assertThat(readAnswer(a).error()).isNull());
        assertThat(maxRunning.get()).isEqualTo(1);
        assertThat(mFixture.targets.plainBodies).isEqualTo(expected);
    }

    /** Guards against an unbounded queue of the calls of one program. */
    @Test
    void refusesCallsBeyondTheQueueLimit() {
        CountDownLatch unblock = blockPlainTarget();
        for (int i = 0; i <= CallSettings.DEFAULT.maxQueuedPerProgram(); i++) {
            mFixture.executor.submit(plainCall("r" + i, "/x").build(), bytes(""));
        }
        ObservedAnswer refused = mFixture.run(plainCall("more", "/x"), bytes(""));
        assertThat(refused.error().kind()).isEqualTo("overloaded");
        assertThat(refused.error().notRun()).isTrue();
        unblock.countDown();
    }

    private CountDownLatch blockPlainTarget() {
        CountDownLatch unblock = new CountDownLatch(1);
        mFixture.targets.plainScript =
                (address, request) -> {
                    try {
                        unblock.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    return FakeTargets.okResponse("held");
                };
        return unblock;
    }

    /**
     * Guards against a repeat that runs again, and against one that misses the start of the answer.
     */
    @Test
    void attachesRepeatsToTheRunningAttemptAndTheRecord() {
        CountDownLatch unblock = new CountDownLatch(1);
        mFixture.targets.engineScript =
                (request, listener) -> {
                    listener.onToken(0, "one");
                    try {
                        unblock.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    FakeTargets.answer(resumedRequest(request), listener);
                };
        AnswerBuffer first = mFixture.executor.submit(modelCall("r").build(), chatBody(true, "a"));
        await().until(() -> !first.lacksHead());
        AnswerBuffer second = mFixture.executor.submit(modelCall("r").build(), chatBody(true, "a"));
        unblock.countDown();
        ObservedAnswer one = readAnswer(first);
        assertThat(readAnswer(second).body()).isEqualTo(one.body()).contains("\"one\"");
        assertThat(mFixture.run(modelCall("r"), chatBody(true, "a")).body()).isEqualTo(one.body());
        assertThat(mFixture.targets.generateRequests).hasSize(1);
    }

    private static EngineClient.GenerateRequest resumedRequest(
            EngineClient.GenerateRequest request) {
        return new EngineClient.GenerateRequest(
                request.model(),
                request.messages(),
                request.maxTokens(),
                request.session(),
                request.callId(),
                1,
                request.priority(),
                request.fence(),
                request.timeoutMillis(),
                request.extraJson());
    }

    /** Guards against an answer to another body when an identity is reused. */
    @Test
    void refusesAnotherBodyUnderTheSameIdentity() {
        CountDownLatch unblock = blockPlainTarget();
        AnswerBuffer running = mFixture.executor.submit(plainCall("r", "/x").build(), bytes("a"));
        ObservedAnswer whileRunning = mFixture.run(plainCall("r", "/x"), bytes("b"));
        unblock.countDown();
        assertThat(readAnswer(running).body()).isEqualTo("held");
        ObservedAnswer afterwards = mFixture.run(plainCall("r", "/x"), bytes("b"));
        assertThat(whileRunning.error().kind()).isEqualTo("identity_conflict");
        assertThat(afterwards.error().kind()).isEqualTo("identity_conflict");
        assertThat(mFixture.targets.plainRequests).hasSize(1);
    }

    /** Guards against a history that is lost, mixed or forked. */
    @Test
    void keepsHistoryInBothModes() {
        mFixture.run(modelCall("r1"), chatBody(false, "a"));
        ObservedAnswer forked =
                mFixture.run(modelCall("r2"), chatBody(false, "other", "one two three", "b"));
        assertThat(forked.error().kind()).isEqualTo("history_mismatch");
        ObservedAnswer short1 = mFixture.run(modelCall("r3"), chatBody(false, "a"));
        assertThat(short1.error().kind()).isEqualTo("history_mismatch");
        ObservedAnswer full =
                mFixture.run(modelCall("r4"), chatBody(false, "a", "one two three", "b"));
        assertThat(full.error()).isNull();
        CallRequest.Builder append = modelCall("r5").historyMode(HistoryMode.APPEND);
        assertThat(mFixture.run(append, chatBody(false, "c")).error()).isNull();
        var sent = mFixture.targets.generateRequests.get(2).messages();
        assertThat(sent.stream().map(m -> m.content()))
                .containsExactly("a", "one two three", "b", "one two three", "c");
        assertThat(programState().history()).hasSize(6);
    }

    private ProgramState programState() {
        return mFixture.log.find(PROGRAM).orElseThrow();
    }

    /** Guards against a workspace that reads or extends the program of another workspace. */
    @Test
    void hidesProgramsOfOtherWorkspaces() {
        mFixture.run(modelCall("r1"), chatBody(false, "a"));
        CallRequest.Builder other = modelCall("r1").workspace(new WorkspaceId("other"));
        ObservedAnswer observed = mFixture.run(other, chatBody(false, "a"));
        assertThat(observed.error().kind()).isEqualTo("unknown_program");
        assertThat(mFixture.targets.generateRequests).hasSize(1);
    }

    /** Guards against a program that spends beyond its budget. */
    @Test
    void neverSpendsBeyondTheBudget() {
        mFixture.config.now = CallFixture.declared(20);
        assertThat(mFixture.run(modelCall("r1"), chatBody(false, "a")).error()).isNull();
        CallRequest.Builder append = modelCall("r2").historyMode(HistoryMode.APPEND);
        ObservedAnswer refused = mFixture.run(append, chatBody(false, "b"));
        assertThat(refused.error().kind()).isEqualTo("budget_exceeded");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(programState().spentTokens()).isEqualTo(6);
        assertThat(programState().spentTokens() + programState().reservedTokens())
                .isLessThanOrEqualTo(20);
    }

    /** Guards against a model call that is dispatched before its reservation is durable. */
    @Test
    void waitsForTheReservationBeforeDispatch() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        AnswerBuffer answer =
                mFixture.executor.submit(modelCall("r").build(), chatBody(false, "a"));
        await().until(() -> !mFixture.log.records().isEmpty());
        assertThat(mFixture.targets.generateRequests).isEmpty();
        mFixture.log.releaseStore();
        assertThat(readAnswer(answer).error()).isNull();
    }

    /** Guards against answers that are delayed, or reported as durable, during a store outage. */
    @Test
    void deliversAsPendingWhileTheStoreIsDown() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        mFixture.log.storeDown = true;
        ObservedAnswer observed = mFixture.run(modelCall("r"), chatBody(false, "a"));
        assertThat(observed.durability()).isEqualTo("pending");
        assertThat(observed.head().headers().get("X-Durability")).containsExactly("pending");
        assertThat(mFixture.run(modelCall("r"), chatBody(false, "a")).durability())
                .isEqualTo("pending");
        mFixture.log.pendingBytes = 65L << 20;
        ObservedAnswer refused =
                mFixture.run(modelCall("r2"), chatBody(false, "a", "one two three", "b"));
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
    }

    /**
     * Guards against an answer that is delivered as pending while its record is neither stored nor
     * copied.
     */
    @Test
    void waitsForTheStoreIfAnAnswerCannotBeCopied() {
        mFixture.targets.plainScript =
                (address, request) -> {
                    mFixture.log.mode = FakeLog.Mode.HELD;
                    mFixture.log.storeDown = true;
                    mFixture.log.replicable = false;
                    return FakeTargets.okResponse("paid");
                };
        AnswerBuffer answer = mFixture.executor.submit(plainCall("r", "/pay").build(), bytes("1"));
        await().until(() -> mFixture.log.replicationCount.get() > 1);
        assertThat(answer.ended()).isFalse();
        assertThat(answer.reader().poll()).isNull();
        mFixture.log.releaseStore();
        assertThat(readAnswer(answer).durability()).isEqualTo("durable");
    }

    /** Guards against spent tokens that are lost if this daemon dies during a store outage. */
    @Test
    void doesNotDispatchIfTheReservationCanNeitherBeWrittenNorCopied() {
        mFixture.log.mode = FakeLog.Mode.HELD;
        mFixture.log.storeDown = true;
        mFixture.log.replicable = false;
        ObservedAnswer refused = mFixture.run(modelCall("r"), chatBody(false, "a"));
        assertThat(refused.error().kind()).isEqualTo("store_unavailable");
        assertThat(refused.error().notRun()).isTrue();
        assertThat(mFixture.targets.generateRequests).isEmpty();
    }

    /** Guards against engine memory that is still held by ended programs. */
    @Test
    void releasesCacheUntilConfirmed() {
        mFixture.targets.releaseFails = true;
        mFixture.run(modelCall("r"), chatBody(false, "a"));
        assertThat(mFixture.log.records(LogRecord.CacheReleaseOwed.class)).hasSize(1);
        new ProgramOps(mFixture.executor).run(op("end", "{}"));
        mFixture.targets.releaseFails = false;
        await().until(() -> programState().cacheTargets().isEmpty());
        assertThat(mFixture.targets.releasedSessions).containsExactly("e-1/hc.p-1");
        ObservedAnswer refused =
                mFixture.run(modelCall("r2"), chatBody(false, "a", "one two three", "b"));
        assertThat(refused.error().kind()).isEqualTo("program_ended");
    }

    private static PeerMessage.ProgramOp op(String name, String json) {
        return new PeerMessage.ProgramOp(
                name, CallFixture.WORKSPACE.value(), PROGRAM.value(), json);
    }

    /** Guards against sub-agents that are granted more than the budget of their parent. */
    @Test
    void grantsTheBudgetOfSubAgentOnce() {
        ProgramOps ops = new ProgramOps(mFixture.executor);
        ops.run(op("start", "{\"budget_tokens\":100}"));
        String grantArguments = "{\"child\":\"c\",\"budget_tokens\":60}";
        assertThat(ops.run(op("carve", grantArguments))).contains("60");
        assertThat(ops.run(op("carve", grantArguments))).contains("60");
        assertThat(programState().spentTokens()).isEqualTo(60);
        Assertions.assertThatThrownBy(
                        () -> ops.run(op("carve", grantArguments.replace("\"c\"", "\"d\""))))
                .hasMessageContaining("40 are left");
    }

    /** Guards against decisions that lack the target of a call or the reason of its refusal. */
    @Test
    void recordsDecisions() {
        mFixture.run(modelCall("r"), chatBody(false, "a"));
        mFixture.targets.engineScript =
                (request, listener) ->
                        listener.onFailure(
                                new TargetFailure(TargetFailure.Kind.REFUSED, 503, "full"));
        mFixture.run(modelCall("s"), chatBody(false, "b"));
        List<Decision> decisions =
                mFixture.dependencies.decisions().findByProgram(CallFixture.PROGRAM.value(), 100);
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

    /**
     * Guards against idle programs that never end, and releases that are lost when the owner dies.
     */
    @Test
    void endsIdleProgramsAndReleasesAfterTakeover() {
        mFixture.targets.releaseFails = true;
        mFixture.run(modelCall("r"), chatBody(false, "a"));
        mFixture.executor.close();
        ManualTicker ticker = new ManualTicker();
        CallDependencies dependencies =
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
                        mFixture.dependencies.decisions());
        ProgramMaintenance successor =
                new ProgramMaintenance(
                        dependencies, new ProgramRecorder(dependencies), Runnable::run, p -> false);
        successor.run();
        ticker.advanceMillis(CallSettings.DEFAULT.programIdleTimeoutMillis() - 1);
        successor.run();
        assertThat(programState().ended()).isFalse();
        ticker.advanceMillis(1);
        successor.run();
        assertThat(programState().endReason()).isEqualTo("idle");
        successor.run();
        assertThat(programState().cacheTargets()).hasSize(1);
        mFixture.targets.releaseFails = false;
        ticker.advanceMillis(2000);
        successor.run();
        assertThat(mFixture.targets.releasedSessions).containsExactly("e-1/hc.p-1");
        assertThat(programState().cacheTargets()).isEmpty();
    }

    /** Guards against a daemon without a configuration that refuses calls permanently. */
    @Test
    void reportsOwnershipLostWithoutConfiguration() {
        DeploymentConfig declared = mFixture.config.now;
        mFixture.config.now = DeploymentConfig.empty();
        ObservedAnswer refused = mFixture.run(plainCall("r1", "/x"), bytes(""));
        assertThat(refused.error().kind()).isEqualTo("ownership_lost");
        assertThat(refused.error().notRun()).isTrue();
        mFixture.config.now = declared;
        assertThat(mFixture.run(plainCall("r1", "/x"), bytes("")).error()).isNull();
    }

    /** Guards against calls that stay queued beyond their deadline. */
    @Test
    void refusesQueuedCallsAtTheirDeadline() {
        CountDownLatch unblock = blockPlainTarget();
        mFixture.executor.submit(plainCall("r1", "/x").build(), bytes(""));
        ObservedAnswer expired = mFixture.run(plainCall("r2", "/x").deadlineMillis(50), bytes(""));
        assertThat(expired.error().kind()).isEqualTo("deadline_exceeded");
        assertThat(expired.error().notRun()).isTrue();
        unblock.countDown();
    }

    /** Guards against ephemeral calls that continue after the caller closed the answer. */
    @Test
    void cancelsEphemeralCallsOnly() {
        mFixture.targets.engineScript = (request, listener) -> listener.onToken(0, "one");
        CallRequest request =
                CallRequest.builder(CallRequest.Kind.MODEL)
                        .workspace(CallFixture.WORKSPACE)
                        .build();
        AnswerBuffer answer = mFixture.executor.runEphemeral(request, chatBody(true, "a"), null);
        await().until(() -> !answer.lacksHead());
        answer.cancel();
        await().until(() -> mFixture.targets.releasedSessions.size() == 1);
        assertThat(mFixture.targets.generateRequests).hasSize(1);
        AnswerBuffer logged = mFixture.executor.submit(plainCall("r", "/x").build(), bytes(""));
        logged.cancel();
        assertThat(readAnswer(logged).body()).isEqualTo("done");
    }
}
