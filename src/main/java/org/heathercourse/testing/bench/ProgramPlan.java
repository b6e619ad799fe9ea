package org.heathercourse.testing.bench;

import java.util.List;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A program as it will unfold; policies never see it.
 *
 * @param number number of the program within the run
 * @param workspace workspace that sends it
 * @param kind name of the kind of program
 * @param requestClass class of all its calls
 * @param arrivalMillis time of its first call
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
     * A call and what follows it.
     *
     * @param newTokens prompt tokens that were not in the conversation before
     * @param outputTokens tokens of the answer
     * @param pauseMillis length of the tool pause after the call
     * @param subAgents chains that run beside the pause; the next call waits for all of them
     */
    record Turn(int newTokens, int outputTokens, double pauseMillis, List<List<Turn>> subAgents) {}

    /** Returns the engine time of the calls in full batches with cached prefixes. */
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
     * Returns the latency alone on an idle system with cached prefixes.
     *
     * @param engine speed of the engines
     * @param callerMillis time between caller and engine one way
     */
    double aloneMillis(EngineSpec engine, double callerMillis) {
        return aloneMillis(chain, engine, callerMillis);
    }

    private static double aloneMillis(List<Turn> chain, EngineSpec engine, double callerMillis) {
        double total = 0;
        for (int i = 0; i < chain.size(); i++) {
            Turn turn = chain.get(i);
            total += engine.aloneMillis(turn.newTokens(), turn.outputTokens()) + 2 * callerMillis;
            if (i < chain.size() - 1) {
                double pause = turn.pauseMillis();
                for (List<Turn> sub : turn.subAgents()) {
                    pause = Math.max(pause, aloneMillis(sub, engine, callerMillis));
                }
                total += pause;
            }
        }
        return total;
    }

    /** Returns the number of calls, those of sub-agents included. */
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
