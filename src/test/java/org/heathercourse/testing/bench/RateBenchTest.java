package org.heathercourse.testing.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a bench that does not repeat or a policy that falls behind its aims. */
class RateBenchTest {
    private static final RateScenario SCENARIO =
            new RateScenario(11, 12, 40, false, 200, 400, 1, 2, 0.3, 2);

    /** Fails if refusals within the rate exceed the aim or a run does not repeat from its seed. */
    @Test
    void aimIsMetWithoutFaults() {
        Map<String, Object> figures = RateBench.measure(SCENARIO);
        assertThat(figures.get("granted_over_ceiling")).isEqualTo(0L);
        assertThat((double) figures.get("refused_within_rate_pct")).isLessThanOrEqualTo(0.5);
        assertThat(RateBench.measure(SCENARIO)).isEqualTo(figures);
    }

    /** Fails if deaths of grantors or a partition let the fleet exceed the ceiling. */
    @Test
    void ceilingHoldsWithFaults() {
        for (long seed = 1; seed <= 3; seed++) {
            RateScenario faults = new RateScenario(seed, 12, 120, true, 20, 20, 1, 2, 1, 2);
            assertThat(RateBench.measure(faults).get("granted_over_ceiling")).isEqualTo(0L);
        }
    }
}
