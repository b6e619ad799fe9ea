package org.heathercourse.core.program;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

/** The fold of log records, its budget arithmetic and its encoding. */
class ProgramFoldTest {
    private static final ProgramId P = new ProgramId("p");
    private static final TargetId T = new TargetId("t");

    private static LogRecord.ProgramStarted started(long budget, long reserved) {
        return new LogRecord.ProgramStarted(P, new WorkspaceId("w"), null, budget, reserved);
    }

    private static LogRecord completed(String request, long cost, long next) {
        return new LogRecord.CallCompleted(
                P,
                new RequestId(request),
                "d",
                200,
                "application/json",
                ("answer " + request).getBytes(StandardCharsets.UTF_8),
                List.of(new ChatMessage("assistant", request)),
                cost,
                next,
                T);
    }

    private static LogRecord intent(String request) {
        return new LogRecord.IntentRecorded(P, new RequestId(request), "d", T, 1);
    }

    private static LogRecord failed(String request, boolean notRun, long cost) {
        return new LogRecord.CallFailed(
                P, new RequestId(request), "d", "target_failed", "reset", notRun, cost);
    }

    private static LogRecord random(Random random) {
        String request = "r" + random.nextInt(12);
        ProgramId child = new ProgramId("c" + random.nextInt(4));
        long tokens = random.nextInt(400) - 20;
        return switch (random.nextInt(9)) {
            case 0 -> new LogRecord.BudgetReserved(P, tokens);
            case 1 -> intent(request);
            case 2 -> failed(request, random.nextBoolean(), 0);
            case 3 -> new LogRecord.CacheReleaseOwed(P, T);
            case 4 -> new LogRecord.CacheReleaseConfirmed(P, T);
            case 5 -> new LogRecord.ChildBudgetGranted(P, child, tokens);
            case 6 -> new LogRecord.ChildBudgetReturned(P, child, tokens);
            case 7 -> new LogRecord.ProgramEnded(P, random.nextInt(20) == 0 ? "idle" : "");
            default -> completed(request, 0, tokens);
        };
    }

    /** Guards against a program that may spend more than its budget after any records. */
    @Property(seed = "4721", tries = 300)
    void promisedTokensNeverExceedTheBudget(@ForAll long seed) {
        Random random = new Random(seed);
        ProgramState state = ProgramState.start(started(1_000, 5_000));
        for (int i = 0; i < 60; i++) {
            LogRecord record = random(random);
            if (record instanceof LogRecord.CallCompleted c && random.nextBoolean()) {
                // A dispatcher limits each call to what is reserved for it.
                long cost = random.nextLong(state.reservedTokens() + 1);
                record = completed(c.request().value(), cost, c.reserveNextTokens());
            }
            state = random.nextInt(15) == 0 ? state.afterTakeover() : state.apply(record);
            assertThat(state.spentTokens() + state.reservedTokens() + state.grantedTokens())
                    .isLessThanOrEqualTo(1_000);
            assertThat(state.availableTokens()).isNotNegative();
        }
    }

    /** Guards against a snapshot that differs from the fold of the records it replaces. */
    @Property(seed = "4722", tries = 100)
    void snapshotAndLogGiveTheSameState(@ForAll long seed) {
        Random random = new Random(seed);
        ShardState direct = new ShardState(0);
        ShardState replayed = new ShardState(0);
        List<LogRecord> first = new ArrayList<>(List.of(started(1_000, 10)));
        direct.apply(first, 0);
        LogCodec.decode(LogCodec.encode(first), replayed);
        for (int i = 0; i < 30; i++) {
            List<LogRecord> records = List.of(random(random), random(random));
            direct.apply(records, 0);
            LogCodec.decode(LogCodec.encode(records), replayed);
            if (i == 15) {
                ProgramState state = replayed.find(P).orElseThrow();
                replayed = new ShardState(0);
                LogCodec.decode(LogCodec.encode(state), replayed);
                direct.takeover();
                LogCodec.decode(LogCodec.takeoverFrame(), replayed);
            }
        }
        assertThat(replayed.find(P).orElseThrow())
                .usingRecursiveComparison()
                .ignoringCollectionOrder()
                .isEqualTo(direct.find(P).orElseThrow());
    }

    /** Guards against an outcome recorded twice, or one that replaces an unknown outcome. */
    @Test
    void secondOutcomeOfSameCallAddsNoMessages() {
        ProgramState once = ProgramState.start(started(100, 10)).apply(completed("r", 3, 10));
        ProgramState twice = once.apply(completed("r", 4, 90));
        assertThat(twice.history()).hasSize(1);
        assertThat(twice.spentTokens()).isEqualTo(7);
        ProgramState unknown =
                ProgramState.start(started(100, 10)).apply(intent("i")).afterTakeover();
        assertThat(unknown.apply(completed("i", 0, 0)).calls().get(new RequestId("i")).state())
                .isEqualTo(CallState.UNKNOWN);
        assertThat(unknown.acceptsIntent((LogRecord.IntentRecorded) intent("i"))).isFalse();
        ProgramState notRun =
                ProgramState.start(started(100, 10)).apply(intent("i")).apply(failed("i", true, 0));
        assertThat(notRun.acceptsIntent((LogRecord.IntentRecorded) intent("i"))).isTrue();
    }

    /** Guards against answers of non-idempotent calls that are dropped, and others that pile up. */
    @Test
    void answersOfNonIdempotentCallsAreKept() {
        ProgramState state = ProgramState.start(started(100, 10));
        state = state.apply(intent("order")).apply(completed("order", 1, 1));
        for (int i = 0; i < 20; i++) {
            state = state.apply(completed("r" + i, 1, 1));
        }
        assertThat(state.calls().get(new RequestId("order")).answer()).isNotEmpty();
        long kept = state.calls().values().stream().filter(c -> !c.answerDropped()).count();
        assertThat(kept).isEqualTo(ProgramState.ANSWERS_KEPT + 1);
        assertThat(state.calls().get(new RequestId("r0")).bodyDigest()).isEqualTo("d");
    }

    /** Guards against states that see messages appended to another state of the same program. */
    @Test
    void branchedHistoriesDoNotMix() {
        ProgramState base = ProgramState.start(started(100, 10)).apply(completed("a", 1, 1));
        ProgramState left = base.apply(completed("b", 1, 1));
        ProgramState right = base.apply(completed("c", 1, 1)).apply(completed("d", 1, 1));
        assertThat(base.history()).extracting(ChatMessage::content).containsExactly("a");
        assertThat(left.history()).extracting(ChatMessage::content).containsExactly("a", "b");
        assertThat(right.history()).extracting(ChatMessage::content).containsExactly("a", "c", "d");
    }

    /** Guards against ended programs kept for ever, or removed while they owe a release. */
    @Test
    void endedProgramsExpireUnlessTheyOweRelease() {
        ShardState state = new ShardState(0);
        state.apply(List.of(started(1, 0), new LogRecord.CacheReleaseOwed(P, T)), 0);
        state.apply(List.of(new LogRecord.ProgramEnded(P, "completed")), 1_000);
        assertThat(state.expire(1_000 + ShardState.RETENTION_MILLIS)).isEmpty();
        state.apply(List.of(new LogRecord.CacheReleaseConfirmed(P, T)), 2_000);
        assertThat(state.expire(999 + ShardState.RETENTION_MILLIS)).isEmpty();
        assertThat(state.expire(1_000 + ShardState.RETENTION_MILLIS)).containsExactly(P);
        assertThat(state.find(P)).isEmpty();
    }

    /** Guards against damaged logs that are folded as if they were whole. */
    @Test
    void cutOffFramesAreRefused() {
        byte[] frame = LogCodec.encode(List.<LogRecord>of(started(1, 0)));
        byte[] cut = Arrays.copyOf(frame, frame.length - 1);
        assertThatThrownBy(() -> LogCodec.decode(cut, new ShardState(0)))
                .isInstanceOf(HeathercourseException.class);
    }
}
