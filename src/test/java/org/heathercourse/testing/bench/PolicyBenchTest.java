package org.heathercourse.testing.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.time.Ticker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the policy bench and checks the scheduler against its required figures with a fixed seed.
 */
class PolicyBenchTest {
    private static final long SEED = 4L;

    /** Programs last up to ten minutes, so shorter runs do not reach the declared load. */
    private static final double SECONDS = 1_800;

    /**
     * Fails if slowdowns are computed against an idle latency that differs from the engine model's.
     */
    @ParameterizedTest
    @EnumSource(Scenario.class)
    void singleProgramHasItsIdleLatency(Scenario scenario) {
        System.out.println("seed=" + SEED);
        List<ProgramPlan> programs =
                Workload.create(scenario, 0.8, 60, -1, new SplittableRandom(SEED)).programs();
        for (ProgramPlan plan : programs.subList(0, 20)) {
            ProgramPlan program =
                    new ProgramPlan(
                            0, plan.workspace(), plan.kind(), plan.requestClass(), 0, plan.chain());
            double[] unlimited = new double[Scenario.PROGRAM_SHARES.length];
            Arrays.fill(unlimited, 1_000);
            double[] shares = Scenario.PROGRAM_SHARES;
            Workload workload = new Workload(List.of(program), unlimited, shares);
            PolicyRun run =
                    new PolicyRun(scenario, new SchedulerRouter(scenario, 1), workload, 0, SEED);
            double[] slowdowns = run.run(Fault.NONE, line -> {}).workspaceSlowdowns();
            double slowdown = Arrays.stream(slowdowns).max().orElseThrow();
            // The tolerance covers concurrent sub-agents and the longer delay between zones.
            assertThat(slowdown).as(plan.kind()).isCloseTo(1, within(0.06));
        }
    }

    /** Fails if the scheduler misses the figures required by the design page. */
    @ParameterizedTest
    @EnumSource(Scenario.class)
    void meetsThresholdsAtUsualLoad(Scenario scenario) {
        Map<String, Object> json = run(scenario, Fault.NONE);
        Map<?, ?> naive = (Map<?, ?>) json.get("naive");
        Map<?, ?> ours = (Map<?, ?>) json.get("ours");
        assertThat(number(ours, "program_p95_ms"))
                .isLessThanOrEqualTo(0.6 * number(naive, "program_p95_ms"));
        assertThat(number(ours, "worst_workspace_slowdown"))
                .isLessThanOrEqualTo(1.3 * number(ours, "median_workspace_slowdown"));
        assertThat(number(ours, "wasted_cache_tokens"))
                .isLessThanOrEqualTo(0.25 * number(naive, "wasted_cache_tokens"));
        assertThat(number(ours, "urgent_p99_ms"))
                .isLessThanOrEqualTo(1.5 * number(ours, "idle_urgent_p99_ms"));
        assertThat(number(ours, "refused_within_rate_pct")).isLessThanOrEqualTo(0.5);
        assertThat(number(ours, "unfinished")).isZero();
    }

    /** Fails if programs never end after a fault or too many calls within the rate are refused. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void finishesAllProgramsUnderFaults(Fault fault) {
        Map<?, ?> ours = (Map<?, ?>) run(Scenario.WARPING, fault).get("ours");
        assertThat(number(ours, "unfinished")).isZero();
        assertThat(number(ours, "refused_within_rate_pct")).isLessThanOrEqualTo(3);
    }

    /** Fails if two runs with the same seed differ. */
    @Test
    void sameSeedGivesSameResult() {
        assertThat(run(Scenario.MATCHING, Fault.ENGINE_LOSS))
                .isEqualTo(run(Scenario.MATCHING, Fault.ENGINE_LOSS));
    }

    /** Fails if the decision bench does not run at small sizes. */
    @Test
    void decisionBenchRunsAtSmallSize() {
        Map<String, Object> json = new DecisionBench(Ticker.system(), 56, 500).run();
        assertThat(json).containsKeys("pick_p50_us", "pick_p99_us", "bytes_per_program");
    }

    private static Map<String, Object> run(Scenario scenario, Fault fault) {
        System.out.println("seed=" + SEED);
        return new PolicyBench(scenario, SEED, 0.8, SECONDS, fault, line -> {}).run(false);
    }

    private static double number(Map<?, ?> json, String name) {
        return ((Number) json.get(name)).doubleValue();
    }
}
