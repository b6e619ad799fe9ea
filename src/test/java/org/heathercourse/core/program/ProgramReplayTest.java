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

/** Tests of replaying log records, of the budget arithmetic and of the log encoding. */
class ProgramReplayTest {
    private static final ProgramId PROGRAM = new ProgramId("p");
    private static final TargetId TARGET = new TargetId("t");

    private static LogRecord.ProgramStarted started(long budget, long reserved) {
        return new LogRecord.ProgramStarted(PROGRAM, new WorkspaceId("w"), null, budget, reserved);
    }

    private static LogRecord completed(String request, long cost, long next) {
        return new LogRecord.CallCompleted(
                PROGRAM,
                new RequestId(request),
                "d",
                200,
                "application/json",
                ("answer " + request).getBytes(StandardCharsets.UTF_8),
                List.of(new ChatMessage("assistant", request)),
                cost,
                next,
                TARGET);
    }

    private static LogRecord intent(String request) {
        return new LogRecord.IntentRecorded(PROGRAM, new RequestId(request), "d", TARGET, 1);
    }

    private static LogRecord failed(String request, boolean notRun, long cost) {
        return new LogRecord.CallFailed(
                PROGRAM, new RequestId(request), "d", "target_failed", "reset", notRun, cost);
    }

    private static LogRecord random(Random random) {
        String request = "r" + random.nextInt(12);
        ProgramId child = new ProgramId("c" + random.nextInt(4));
        long tokens = random.nextInt(400) - 20;
        return switch (random.nextInt(9)) {
            case 0 -> new LogRecord.BudgetReserved(PROGRAM, tokens);
            case 1 -> intent(request);
            case 2 -> failed(request, random.nextBoolean(), 0);
            case 3 -> new LogRecord.CacheReleaseOwed(PROGRAM, TARGET);
            case 4 -> new LogRecord.CacheReleaseConfirmed(PROGRAM, TARGET);
            case 5 -> new LogRecord.ChildBudgetGranted(PROGRAM, child, tokens);
            case 6 -> new LogRecord.ChildBudgetReturned(PROGRAM, child, tokens);
            case 7 -> new LogRecord.ProgramEnded(PROGRAM, random.nextInt(20) == 0 ? "idle" : "");
            default -> completed(request, 0, tokens);
        };
    }

    /** Guards against sequences of records after which a program may spend more than its budget. */
    @Property(seed = "4721", tries = 300)
    void spentReservedAndGrantedTokensStayWithinBudget(@ForAll long seed) {
        Random random = new Random(seed);
        ProgramState state = ProgramState.start(started(1_000, 5_000));
        for (int i = 0; i < 60; i++) {
            LogRecord record = random(random);
            if (record instanceof LogRecord.CallCompleted c && random.nextBoolean()) {
                // A dispatcher limits each call to the tokens reserved for it.
                long cost = random.nextLong(state.reservedTokens() + 1);
                record = completed(c.request().value(), cost, c.reserveNextTokens());
            }
            state = random.nextInt(15) == 0 ? state.afterTakeover() : state.apply(record);
            assertThat(state.spentTokens() + state.reservedTokens() + state.grantedTokens())
                    .isLessThanOrEqualTo(1_000);
            assertThat(state.availableTokens()).isNotNegative();
        }
    }

    /** Guards against a snapshot that differs from the state given by the records it replaces. */
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
                ProgramState state = replayed.find(PROGRAM).orElseThrow();
                replayed = new ShardState(0);
                LogCodec.decode(LogCodec.encode(state), replayed);
                direct.takeover();
                LogCodec.decode(LogCodec.takeoverFrame(), replayed);
            }
        }
        assertThat(replayed.find(PROGRAM).orElseThrow())
                .usingRecursiveComparison()
                .ignoringCollectionOrder()
                .isEqualTo(direct.find(PROGRAM).orElseThrow());
    }

    /** Guards against an outcome that is applied twice or replaces an unknown outcome. */
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

    /** Guards against dropping answers of non-idempotent calls and keeping all others. */
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

    /**
     * Guards against states that contain messages appended to another state of the same program.
     */
    @Test
    void historiesOfBranchedStatesAreSeparate() {
        ProgramState base = ProgramState.start(started(100, 10)).apply(completed("a", 1, 1));
        ProgramState left = base.apply(completed("b", 1, 1));
        ProgramState right = base.apply(completed("c", 1, 1)).apply(completed("d", 1, 1));
        assertThat(base.history()).extracting(ChatMessage::content).containsExactly("a");
        assertThat(left.history()).extracting(ChatMessage::content).containsExactly("a", "b");
        assertThat(right.history()).extracting(ChatMessage::content).containsExactly("a", "c", "d");
    }

    /**
     * Guards against ended programs that are never removed, or removed while a cache release is
     * pending.
     */
    @Test
    void endedProgramsExpireUnlessCacheReleaseIsPending() {
        ShardState state = new ShardState(0);
        state.apply(List.of(started(1, 0), new LogRecord.CacheReleaseOwed(PROGRAM, TARGET)), 0);
        state.apply(List.of(new LogRecord.ProgramEnded(PROGRAM, "completed")), 1_000);
        assertThat(state.expire(1_000 + ShardState.RETENTION_MILLIS)).isEmpty();
        state.apply(List.of(new LogRecord.CacheReleaseConfirmed(PROGRAM, TARGET)), 2_000);
        assertThat(state.expire(999 + ShardState.RETENTION_MILLIS)).isEmpty();
        assertThat(state.expire(1_000 + ShardState.RETENTION_MILLIS)).containsExactly(PROGRAM);
        assertThat(state.find(PROGRAM)).isEmpty();
    }

    /** Guards against replaying a truncated log as if it were complete. */
    @Test
    void truncatedFramesAreRejected() {
        byte[] frame = LogCodec.encode(List.<LogRecord>of(started(1, 0)));
        byte[] truncated = Arrays.copyOf(frame, frame.length - 1);
        assertThatThrownBy(() -> LogCodec.decode(truncated, new ShardState(0)))
                .isInstanceOf(HeathercourseException.class);
    }
}
