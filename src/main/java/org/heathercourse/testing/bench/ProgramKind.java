package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.heathercourse.core.model.RequestClass;

/**
 * A kind of program with the ranges of its sizes.
 *
 * @param name name of the kind
 * @param requestClass class of its calls
 * @param minTurns least number of calls of the main chain
 * @param maxTurns greatest number of calls of the main chain
 * @param firstTokens median prompt tokens of the first call
 * @param newTokens median new prompt tokens of later calls
 * @param outputTokens median tokens of an answer
 * @param pauseMillis median length of a tool pause
 * @param subAgentRatio share of calls that start sub-agents
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
    private static final double SPREAD = 0.6;
    private static final int SUB_TASK_TOKENS = 600;

    /** Creates the main chain of a program. */
    List<ProgramPlan.Turn> chain(RandomGenerator random) {
        // The cube makes most programs short and a few very long.
        double u = random.nextDouble();
        int turns = minTurns + (int) Math.floor((maxTurns - minTurns + 1) * u * u * u);
        List<ProgramPlan.Turn> chain = new ArrayList<>(turns);
        for (int i = 0; i < turns; i++) {
            List<List<ProgramPlan.Turn>> subs = new ArrayList<>();
            if (i < turns - 1 && random.nextDouble() < subAgentRatio) {
                int count = 1 + random.nextInt(3);
                for (int k = 0; k < count; k++) {
                    subs.add(subAgent(random));
                }
            }
            chain.add(turn(i == 0 ? firstTokens : newTokens, subs, random));
        }
        return chain;
    }

    private List<ProgramPlan.Turn> subAgent(RandomGenerator random) {
        int turns = 2 + random.nextInt(4);
        List<ProgramPlan.Turn> chain = new ArrayList<>(turns);
        for (int i = 0; i < turns; i++) {
            chain.add(turn(i == 0 ? SUB_TASK_TOKENS : newTokens, List.of(), random));
        }
        return chain;
    }

    private ProgramPlan.Turn turn(
            int prompt, List<List<ProgramPlan.Turn>> subs, RandomGenerator random) {
        return new ProgramPlan.Turn(
                Math.max(8, (int) around(prompt, random)),
                Math.max(4, (int) around(outputTokens, random)),
                around(pauseMillis, random),
                subs);
    }

    private static double around(double median, RandomGenerator random) {
        return median * Math.exp(SPREAD * gaussian(random));
    }

    private static double gaussian(RandomGenerator random) {
        double u = 1 - random.nextDouble();
        double v = random.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    }
}
