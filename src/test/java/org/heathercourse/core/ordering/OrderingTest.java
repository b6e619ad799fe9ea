package org.heathercourse.core.ordering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Tests the order of calls across programs and workspaces. */
class OrderingTest {
    private static final long SEED = 11L;
    private static final long NOW = 1_780_000_000_000L;

    /** Upper bound of the allowance of any call. */
    private static final long BOUND_MILLIS = 120_000;

    /** Guards against starvation: a call precedes all that arrive later than the bound. */
    @Test
    void callsPrecedeThoseArrivingAfterTheBound() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < 10_000; i++) {
            PolicySpec policy = new PolicySpec(random.nextDouble(), 1, 10, 0.1);
            int old =
                    PriorityRule.priority(
                            RequestClass.BATCH,
                            random.nextDouble(1e9),
                            random.nextDouble(1e9),
                            random.nextDouble(),
                            NOW,
                            policy);
            int newer =
                    PriorityRule.priority(
                            RequestClass.INTERACTIVE, 0, 0, 0, NOW + BOUND_MILLIS, policy);
            assertThat(old).isLessThan(newer);
            int newerUrgent =
                    PriorityRule.priority(
                            RequestClass.URGENT, 0, 0, 0, NOW + 2 * BOUND_MILLIS, policy);
            assertThat(old).isLessThan(newerUrgent);
        }
    }

    /** Guards against programs with much attained service that precede those with little. */
    @Test
    void prefersLeastServedProgramsUnlessCachesAreShort() {
        PolicySpec policy = new PolicySpec(0.3, 1, 10, 0.1);
        assertThat(interactivePriority(500, 0, 0, policy))
                .isLessThan(interactivePriority(9_000, 0, 0, policy));
        assertThat(interactivePriority(9_000, 0, 0.1, policy))
                .as("running programs first while caches are overcommitted")
                .isLessThan(interactivePriority(500, 0, 0.1, policy));
    }

    /** Guards against a workspace above its share that delays other workspaces. */
    @Test
    void workspacesAboveTheirShareGetLaterPriorities() {
        PolicySpec policy = PolicySpec.DEFAULT;
        assertThat(interactivePriority(0, 0, 0, policy))
                .isLessThan(interactivePriority(0, 30_000, 0, policy));
        assertThat(interactivePriority(0, -30_000, 0, policy))
                .isEqualTo(interactivePriority(0, 0, 0, policy));
    }

    private static int interactivePriority(
            double attainedMillis, double excessMillis, double cacheLossRatio, PolicySpec policy) {
        return PriorityRule.priority(
                RequestClass.INTERACTIVE,
                attainedMillis,
                excessMillis,
                cacheLossRatio,
                NOW,
                policy);
    }

    /** Guards against counters that drift from the directly computed sum of decayed service. */
    @Test
    void countsServiceLikeDirectSumsWithDecay() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        WorkspaceServiceCounters counters = new WorkspaceServiceCounters();
        Map<WorkspaceId, Double> weights = new HashMap<>();
        WorkspaceId[] ids = new WorkspaceId[5];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = new WorkspaceId("w" + i);
            weights.put(ids[i], 1.0 + i);
        }
        counters.setWeights(weights);
        double[] expectedService = new double[ids.length];
        long now = 0;
        for (int step = 0; step < 20_000; step++) {
            long elapsed = random.nextInt(60);
            now += elapsed;
            for (int i = 0; i < expectedService.length; i++) {
                expectedService[i] *= Math.pow(0.5, elapsed / 20_000.0);
            }
            int w = random.nextInt(ids.length);
            double service = 1 + random.nextInt(300);
            expectedService[w] += service;
            counters.add(ids[w], service, now);
        }
        double total = 0;
        for (double p : expectedService) {
            total += p;
        }
        for (int i = 0; i < ids.length; i++) {
            double expected = expectedService[i] - total * (1 + i) / 15;
            assertThat(counters.excessMillis(ids[i], now))
                    .isCloseTo(expected, within(0.05 * total));
        }
    }

    /** Guards against penalizing a workspace for service received while no other was active. */
    @Test
    void soleActiveWorkspaceHasNoExcess() {
        WorkspaceServiceCounters counters = new WorkspaceServiceCounters();
        WorkspaceId workspace = new WorkspaceId("alone");
        for (int i = 0; i < 1_000; i++) {
            counters.add(workspace, 500, i * 10L);
        }
        assertThat(counters.excessMillis(workspace, 10_000)).isCloseTo(0, within(1e-6));
    }

    /** Guards against memory that grows with programs that are never ended. */
    @Test
    void evictsLeastRecentlyServedPrograms() {
        AttainedService attained = new AttainedService(10);
        for (int i = 0; i < 1_000; i++) {
            attained.add(new ProgramId("p" + i), 5);
        }
        assertThat(attained.size()).isEqualTo(10);
        assertThat(attained.serviceMillis(new ProgramId("p0"))).isZero();
    }
}
