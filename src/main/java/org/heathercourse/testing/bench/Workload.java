package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The arrivals of a run.
 *
 * @param programs programs in the order of arrival
 * @param callsPerSecond mean calls per second of each workspace at its usual rate
 * @param workShares share of each workspace of the whole work at its usual rate
 */
record Workload(List<ProgramPlan> programs, double[] callsPerSecond, double[] workShares) {
    private static final int SAMPLE = 4_000;

    /**
     * Creates the arrivals of a run.
     *
     * <p>The load is the work of the arriving programs over the capacity of all engines, where the
     * work of a call is its engine time in a full batch if its whole prefix is cached. A policy
     * that computes prefixes again, or that runs batches that are not full, needs more engine time
     * than this.
     *
     * @param scenario sizes
     * @param load load, 1 for the capacity of all engines
     * @param seconds length of the arrivals in seconds
     * @param noisy number of the workspace that sends four times its rate in the middle third; -1
     *     for none
     * @param random source of random numbers
     */
    static Workload create(
            Scenario scenario, double load, double seconds, int noisy, RandomGenerator random) {
        int workspaces = Scenario.SHARES.length;
        double[] work = new double[workspaces];
        double[] calls = new double[workspaces];
        double meanWork = 0;
        double[] workShares = new double[workspaces];
        for (int w = 0; w < workspaces; w++) {
            for (int i = 0; i < SAMPLE; i++) {
                ProgramPlan sample = program(scenario, 0, w, 0, random);
                work[w] += sample.workMillis(EngineSpec.DEFAULT) / SAMPLE;
                calls[w] += (double) sample.calls() / SAMPLE;
            }
            meanWork += Scenario.SHARES[w] * work[w];
        }
        double rate = load * Scenario.ENGINES * 1000 / meanWork;
        for (int w = 0; w < workspaces; w++) {
            calls[w] *= rate * Scenario.SHARES[w];
            workShares[w] = Scenario.SHARES[w] * work[w] / meanWork;
        }
        return new Workload(arrivals(scenario, rate, seconds, noisy, random), calls, workShares);
    }

    private static List<ProgramPlan> arrivals(
            Scenario scenario, double rate, double seconds, int noisy, RandomGenerator random) {
        List<ProgramPlan> programs = new ArrayList<>();
        for (int w = 0; w < Scenario.SHARES.length; w++) {
            // The usual programs of a workspace are the same whether another one is noisy or not.
            RandomGenerator own = new SplittableRandom(random.nextLong());
            poisson(scenario, w, rate * Scenario.SHARES[w], 0, seconds, own, programs);
        }
        RandomGenerator extra = new SplittableRandom(random.nextLong());
        if (noisy >= 0) {
            double more = 3 * rate * Scenario.SHARES[noisy];
            poisson(scenario, noisy, more, seconds / 3, 2 * seconds / 3, extra, programs);
        }
        programs.sort((a, b) -> Double.compare(a.arrivalMillis(), b.arrivalMillis()));
        List<ProgramPlan> numbered = new ArrayList<>(programs.size());
        for (ProgramPlan p : programs) {
            numbered.add(
                    new ProgramPlan(
                            numbered.size(),
                            p.workspace(),
                            p.kind(),
                            p.requestClass(),
                            p.arrivalMillis(),
                            p.chain()));
        }
        return numbered;
    }

    private static void poisson(
            Scenario scenario,
            int workspace,
            double rate,
            double fromSeconds,
            double toSeconds,
            RandomGenerator random,
            List<ProgramPlan> into) {
        double at = fromSeconds;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / rate;
            if (at >= toSeconds) {
                return;
            }
            into.add(program(scenario, 0, workspace, at * 1000, random));
        }
    }

    private static ProgramPlan program(
            Scenario scenario,
            int number,
            int workspace,
            double arrivalMillis,
            RandomGenerator random) {
        double[] mix = scenario.mix(workspace);
        double u = random.nextDouble();
        int kind = 0;
        while (kind < mix.length - 1 && u >= mix[kind]) {
            u -= mix[kind];
            kind++;
        }
        ProgramKind chosen = scenario.kinds().get(kind);
        return new ProgramPlan(
                number,
                scenario.workspace(workspace),
                chosen.name(),
                chosen.requestClass(),
                arrivalMillis,
                chosen.chain(random));
    }
}
