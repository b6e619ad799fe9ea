package org.heathercourse.testing.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Compares the scheduler with a naive routing policy on the same arrivals.
 *
 * <p>The scheduler is the class that the daemon runs; engines, links and callers are simulated
 * under a manual clock. {@link Workload#create} defines the load. Progress goes to standard error;
 * the last line of standard output is one JSON object.
 */
public final class PolicyBench {
    /** A workspace of medium size, so that its extra programs add load without dominating it. */
    private static final int NOISY_WORKSPACE = 2;

    private static final int PERCENT = 100;

    private final Scenario mScenario;
    private final long mSeed;
    private final double mLoad;
    private final double mSeconds;
    private final Fault mFault;
    private final Consumer<String> mProgress;

    PolicyBench(
            Scenario scenario,
            long seed,
            double load,
            double seconds,
            Fault fault,
            Consumer<String> progress) {
        mScenario = scenario;
        mSeed = seed;
        mLoad = load;
        mSeconds = seconds;
        mFault = fault;
        mProgress = progress;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code --scenario warping|matching --seed N [--load X] [--seconds N] [--fault
     *     none|engine-loss|zone-loss|noisy-neighbour|drain] [--oracle] --json}
     * @throws JsonProcessingException if the result cannot be written as JSON
     */
    public static void main(String[] args) throws JsonProcessingException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> scenario =
                parser.accepts("scenario").withRequiredArg().defaultsTo("warping");
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSpec<Double> load =
                parser.accepts("load").withRequiredArg().ofType(Double.class).defaultsTo(0.8);
        OptionSpec<Double> seconds =
                parser.accepts("seconds").withRequiredArg().ofType(Double.class).defaultsTo(1800.0);
        OptionSpec<String> fault = parser.accepts("fault").withRequiredArg().defaultsTo("none");
        parser.accepts(
                "oracle", "also run a policy with access to the remaining work of each program");
        parser.accepts("json", "print the result as JSON (always done)");
        OptionSet options = parser.parse(args);
        PolicyBench bench =
                new PolicyBench(
                        Scenario.fromName(options.valueOf(scenario)),
                        options.valueOf(seed),
                        options.valueOf(load),
                        options.valueOf(seconds),
                        Fault.fromName(options.valueOf(fault)),
                        System.err::println);
        System.out.println(new ObjectMapper().writeValueAsString(bench.run(options.has("oracle"))));
    }

    /**
     * Runs the naive policy, the scheduler and, if requested, the oracle.
     *
     * @param includeOracle whether to run the oracle
     * @return the JSON object
     */
    Map<String, Object> run(boolean includeOracle) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("scenario", mScenario.name().toLowerCase(Locale.ROOT));
        json.put("seed", mSeed);
        json.put("load", mLoad);
        json.put("seconds", mSeconds);
        json.put("fault", mFault.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        json.put("naive", measurePolicy("naive", () -> new NaiveRouter(mScenario.daemons())));
        json.put("ours", measurePolicy("ours", () -> new SchedulerRouter(mScenario, mSeed)));
        if (includeOracle) {
            json.put("oracle", measurePolicy("oracle", () -> new OracleRouter(mScenario)));
        }
        return json;
    }

    private Map<String, Object> measurePolicy(String name, Supplier<Router> policy) {
        PolicyRun run = createRun(policy.get(), mFault);
        RunStats stats = run.run(mFault, line -> mProgress.accept("policy=" + name + " " + line));
        Map<String, Object> json = stats.toJson(run.busyRatio());
        json.put("idle_urgent_p99_ms", Math.round(stats.idleUrgentP99Millis()));
        if (mFault == Fault.NOISY_NEIGHBOUR) {
            RunStats baseline =
                    createRun(policy.get(), Fault.NONE)
                            .run(
                                    Fault.NONE,
                                    line ->
                                            mProgress.accept(
                                                    "policy=" + name + "-baseline " + line));
            json.put(
                    "others_slowdown_rise_pct",
                    maxRisePercent(baseline.workspaceSlowdowns(), stats.workspaceSlowdowns()));
        }
        return json;
    }

    private PolicyRun createRun(Router router, Fault fault) {
        int noisyWorkspace = fault == Fault.NOISY_NEIGHBOUR ? NOISY_WORKSPACE : -1;
        Workload workload =
                Workload.create(
                        mScenario, mLoad, mSeconds, noisyWorkspace, new SplittableRandom(mSeed));
        return new PolicyRun(mScenario, router, workload, mSeconds, mSeed);
    }

    /**
     * Returns the maximum rise in percent of the slowdown of a workspace other than the noisy one.
     */
    private static double maxRisePercent(double[] baseline, double[] noisy) {
        double rise = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < baseline.length; i++) {
            if (i != NOISY_WORKSPACE) {
                rise = Math.max(rise, PERCENT * (noisy[i] / baseline[i] - 1));
            }
        }
        return RunStats.round(rise);
    }
}
