package org.heathercourse.testing.bench.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.heathercourse.testing.load.TraceProgram;
import org.heathercourse.testing.load.TraceStep;

/**
 * Generates random programs of chats, calls, pauses and sub-agents. Not safe for use by several
 * threads.
 */
final class ProgramGenerator {
    private static final long BUDGET_TOKENS = 40_000;

    private final RandomGenerator mRandom;
    private final List<String> mWorkspaces;
    private int mNextNumber;

    ProgramGenerator(RandomGenerator random, List<String> workspaces) {
        mRandom = random;
        mWorkspaces = workspaces;
    }

    /** Generates the next program; its name starts with the prefix. */
    TraceProgram generate(String prefix) {
        String name = prefix + "-" + mNextNumber++;
        String workspace = mWorkspaces.get(mRandom.nextInt(mWorkspaces.size()));
        String requestClass = mRandom.nextInt(5) == 0 ? "urgent" : "interactive";
        String history = mRandom.nextBoolean() ? "append" : "full";
        List<TraceStep> steps = new ArrayList<>();
        int turns = 5 + mRandom.nextInt(6);
        for (int turn = 0; turn < turns; turn++) {
            steps.add(drawChat());
            switch (mRandom.nextInt(5)) {
                case 0 -> steps.add(call("/orders/" + name + "-" + turn, "POST"));
                case 1 -> steps.add(call("/stock?item=" + turn, "GET"));
                case 2 -> steps.add(new TraceStep(null, null, 20L + mRandom.nextInt(300), null));
                case 3 -> {
                    if (turn == 2) {
                        steps.add(drawAgents());
                    }
                }
                default -> {}
            }
        }
        return new TraceProgram(name, workspace, requestClass, history, BUDGET_TOKENS, steps);
    }

    private TraceStep drawChat() {
        TraceStep.Chat chat = new TraceStep.Chat(5 + mRandom.nextInt(30), 5 + mRandom.nextInt(40));
        return new TraceStep(chat, null, null, null);
    }

    private static TraceStep call(String path, String method) {
        return new TraceStep(null, new TraceStep.Call(path, method), null, null);
    }

    private TraceStep drawAgents() {
        List<TraceStep.Agent> agents = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            agents.add(new TraceStep.Agent(List.of(drawChat(), drawChat())));
        }
        return new TraceStep(null, null, null, agents);
    }
}
