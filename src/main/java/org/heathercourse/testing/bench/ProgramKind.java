package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.heathercourse.core.model.RequestClass;

/**
 * A kind of program with the distribution of its sizes. Immutable.
 *
 * @param name name of the kind
 * @param requestClass class of its calls
 * @param minTurns minimum number of calls of the main chain
 * @param maxTurns maximum number of calls of the main chain
 * @param firstTokens median prompt tokens of the first call
 * @param newTokens median new prompt tokens of later calls
 * @param outputTokens median number of tokens of an answer
 * @param pauseMillis median duration of a tool pause
 * @param subAgentRatio fraction of the calls, except the last, that start sub-agents
 */
record ProgramKind(
        String name,
        RequestClass requestClass,
        int minTurns,
        int maxTurns,
        int firstTokens,
        int newTokens,
        int outputTokens,
        double pauseMillis,
        double subAgentRatio) {
    private static final double LOG_NORMAL_SIGMA = 0.6;
    private static final int SUB_AGENT_FIRST_TOKENS = 600;

    /** Draws the main chain of a program. */
    List<ProgramPlan.Turn> drawChain(RandomGenerator random) {
        // The third power makes most programs short and a few very long.
        double u = random.nextDouble();
        int turns = minTurns + (int) Math.floor((maxTurns - minTurns + 1) * u * u * u);
        List<ProgramPlan.Turn> chain = new ArrayList<>(turns);
        for (int i = 0; i < turns; i++) {
            List<List<ProgramPlan.Turn>> subAgents = new ArrayList<>();
            if (i < turns - 1 && random.nextDouble() < subAgentRatio) {
                int count = 1 + random.nextInt(3);
                for (int k = 0; k < count; k++) {
                    subAgents.add(drawSubAgent(random));
                }
            }
            chain.add(drawTurn(i == 0 ? firstTokens : newTokens, subAgents, random));
        }
        return chain;
    }

    private List<ProgramPlan.Turn> drawSubAgent(RandomGenerator random) {
        int turns = 2 + random.nextInt(4);
        List<ProgramPlan.Turn> chain = new ArrayList<>(turns);
        for (int i = 0; i < turns; i++) {
            chain.add(drawTurn(i == 0 ? SUB_AGENT_FIRST_TOKENS : newTokens, List.of(), random));
        }
        return chain;
    }

    private ProgramPlan.Turn drawTurn(
            int prompt, List<List<ProgramPlan.Turn>> subAgents, RandomGenerator random) {
        return new ProgramPlan.Turn(
                Math.max(8, (int) drawLogNormal(prompt, random)),
                Math.max(4, (int) drawLogNormal(outputTokens, random)),
                drawLogNormal(pauseMillis, random),
                subAgents);
    }

    private static double drawLogNormal(double median, RandomGenerator random) {
        return median * Math.exp(LOG_NORMAL_SIGMA * drawGaussian(random));
    }

    private static double drawGaussian(RandomGenerator random) {
        double u = 1 - random.nextDouble();
        double v = random.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    }
}
