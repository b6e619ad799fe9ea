package org.heathercourse.testing.bench;

import java.util.List;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.WorkspaceId;

/**
 * The calls, pauses and sub-agents of a program, drawn before the run and hidden from the policies.
 * Immutable.
 *
 * @param number index of the program within the run
 * @param workspace workspace of the program
 * @param kind name of the kind of program
 * @param requestClass class of all its calls
 * @param arrivalMillis time of its first call, in milliseconds from the start of the run
 * @param chain its calls in order
 */
record ProgramPlan(
        int number,
        WorkspaceId workspace,
        String kind,
        RequestClass requestClass,
        double arrivalMillis,
        List<Turn> chain) {
    /**
     * A call, with the pause and the sub-agents that follow it.
     *
     * @param newTokens prompt tokens that the call adds to the conversation
     * @param outputTokens tokens of the answer
     * @param pauseMillis duration of the tool pause after the call
     * @param subAgents chains that run during the pause; the next call waits for all of them
     */
    record Turn(int newTokens, int outputTokens, double pauseMillis, List<List<Turn>> subAgents) {}

    /**
     * Returns the engine time in milliseconds of all calls, in full batches with cached prefixes.
     */
    double workMillis(EngineSpec engine) {
        return workMillis(chain, 0, engine);
    }

    static double workMillis(List<Turn> chain, int from, EngineSpec engine) {
        double work = 0;
        for (Turn turn : chain.subList(from, chain.size())) {
            work += engine.workMillis(turn.newTokens(), turn.outputTokens());
            for (List<Turn> sub : turn.subAgents()) {
                work += workMillis(sub, 0, engine);
            }
        }
        return work;
    }

    /**
     * Returns the latency in milliseconds on an otherwise idle system with cached prefixes.
     *
     * @param engine speed of the engines
     * @param callerMillis one-way delay between caller and engine
     */
    double idleLatencyMillis(EngineSpec engine, double callerMillis) {
        return idleLatencyMillis(chain, engine, callerMillis);
    }

    private static double idleLatencyMillis(
            List<Turn> chain, EngineSpec engine, double callerMillis) {
        double total = 0;
        for (int i = 0; i < chain.size(); i++) {
            Turn turn = chain.get(i);
            total +=
                    engine.idleLatencyMillis(turn.newTokens(), turn.outputTokens())
                            + 2 * callerMillis;
            if (i < chain.size() - 1) {
                double pause = turn.pauseMillis();
                for (List<Turn> sub : turn.subAgents()) {
                    pause = Math.max(pause, idleLatencyMillis(sub, engine, callerMillis));
                }
                total += pause;
            }
        }
        return total;
    }

    /** Returns the number of calls, including those of sub-agents. */
    int calls() {
        return calls(chain);
    }

    private static int calls(List<Turn> chain) {
        int calls = chain.size();
        for (Turn turn : chain) {
            for (List<Turn> sub : turn.subAgents()) {
                calls += calls(sub);
            }
        }
        return calls;
    }
}
