package org.heathercourse.testing.bench;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ShardState;

/** Measures the heap used by programs with long histories. */
final class ProgramMemory {
    /** Usual length of a token of English text. */
    private static final int BYTES_PER_TOKEN = 4;

    private ProgramMemory() {}

    /**
     * Measures the heap used per program.
     *
     * @param programs number of programs
     * @param turns turns of each program
     * @param tokens tokens of the history of each program
     * @return the growth of the used heap in bytes, divided by the number of programs
     */
    static long bytesPerProgram(int programs, int turns, int tokens) {
        long before = usedAfterGc();
        ShardState state = new ShardState(0);
        for (int i = 0; i < programs; i++) {
            addProgram(state, new ProgramId("memory-" + i), turns, tokens);
        }
        long after = usedAfterGc();
        long held = state.programs().size();
        return (after - before) / Math.max(1, held);
    }

    private static void addProgram(ShardState state, ProgramId program, int turns, int tokens) {
        LogRecord started =
                new LogRecord.ProgramStarted(program, new WorkspaceId("w"), null, tokens, 0);
        state.apply(List.of(started), 0);
        int bytes = tokens / turns * BYTES_PER_TOKEN / 2;
        for (int turn = 0; turn < turns; turn++) {
            String question = "q".repeat(bytes);
            String answer = "a".repeat(bytes);
            LogRecord completed =
                    new LogRecord.CallCompleted(
                            program,
                            new RequestId("r" + turn),
                            "digest-" + turn,
                            200,
                            "application/json",
                            answer.getBytes(StandardCharsets.UTF_8),
                            List.of(
                                    new ChatMessage("user", question),
                                    new ChatMessage("assistant", answer)),
                            1,
                            0,
                            new TargetId("t"));
            state.apply(List.of(completed), 0);
        }
    }

    private static long usedAfterGc() {
        Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        // Objects that survive the first collection may be freed by a later one.
        for (int i = 0; i < 3; i++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }
}
