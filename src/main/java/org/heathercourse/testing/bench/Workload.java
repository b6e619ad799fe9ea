package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The arrivals of a {@link PolicyRun}.
 *
 * @param programs programs in the order of arrival
 * @param callsPerSecond usual mean calls per second of each workspace
 * @param workShares usual share of each workspace of the total work
 */
record Workload(List<ProgramPlan> programs, double[] callsPerSecond, double[] workShares) {
    private static final int SAMPLE_SIZE = 4_000;

    /**
     * Draws the arrivals of a run.
     *
     * <p>The load is the ratio of the work of the arriving programs to the capacity of all engines,
     * where the work of a call is its engine time in a full batch with its whole prefix cached. A
     * policy that recomputes prefixes or runs partial batches needs more engine time than this.
     *
     * @param scenario sizes and mixes of the programs
     * @param load the load; 1 is the capacity of all engines
     * @param seconds duration of the arrivals in seconds
     * @param noisyWorkspace index of the workspace that sends four times its usual rate in the
     *     middle third; -1 for none
     * @param random source of random numbers
     */
    static Workload create(
            Scenario scenario,
            double load,
            double seconds,
            int noisyWorkspace,
            RandomGenerator random) {
        int workspaces = Scenario.PROGRAM_SHARES.length;
        double[] work = new double[workspaces];
        double[] calls = new double[workspaces];
        double meanWork = 0;
        double[] workShares = new double[workspaces];
        for (int w = 0; w < workspaces; w++) {
            for (int i = 0; i < SAMPLE_SIZE; i++) {
                ProgramPlan sample = drawProgram(scenario, 0, w, 0, random);
                work[w] += sample.workMillis(EngineSpec.DEFAULT) / SAMPLE_SIZE;
                calls[w] += (double) sample.calls() / SAMPLE_SIZE;
            }
            meanWork += Scenario.PROGRAM_SHARES[w] * work[w];
        }
        double rate = load * Scenario.ENGINES * 1000 / meanWork;
        for (int w = 0; w < workspaces; w++) {
            calls[w] *= rate * Scenario.PROGRAM_SHARES[w];
            workShares[w] = Scenario.PROGRAM_SHARES[w] * work[w] / meanWork;
        }
        return new Workload(
                drawArrivals(scenario, rate, seconds, noisyWorkspace, random), calls, workShares);
    }

    private static List<ProgramPlan> drawArrivals(
            Scenario scenario,
            double rate,
            double seconds,
            int noisyWorkspace,
            RandomGenerator random) {
        List<ProgramPlan> programs = new ArrayList<>();
        for (int w = 0; w < Scenario.PROGRAM_SHARES.length; w++) {
            // Each workspace has its own random stream, so that a noisy one does not change the
            // others.
            RandomGenerator workspaceRandom = new SplittableRandom(random.nextLong());
            addPoissonArrivals(
                    scenario,
                    w,
                    rate * Scenario.PROGRAM_SHARES[w],
                    0,
                    seconds,
                    workspaceRandom,
                    programs);
        }
        RandomGenerator extraRandom = new SplittableRandom(random.nextLong());
        if (noisyWorkspace >= 0) {
            double extraRate = 3 * rate * Scenario.PROGRAM_SHARES[noisyWorkspace];
            addPoissonArrivals(
                    scenario,
                    noisyWorkspace,
                    extraRate,
                    seconds / 3,
                    2 * seconds / 3,
                    extraRandom,
                    programs);
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

    private static void addPoissonArrivals(
            Scenario scenario,
            int workspace,
            double rate,
            double fromSeconds,
            double toSeconds,
            RandomGenerator random,
            List<ProgramPlan> programs) {
        double arrivalSeconds = fromSeconds;
        while (true) {
            arrivalSeconds += -Math.log(1 - random.nextDouble()) / rate;
            if (arrivalSeconds >= toSeconds) {
                return;
            }
            programs.add(drawProgram(scenario, 0, workspace, arrivalSeconds * 1000, random));
        }
    }

    private static ProgramPlan drawProgram(
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
                chosen.drawChain(random));
    }
}
