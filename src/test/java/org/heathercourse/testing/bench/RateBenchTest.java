package org.heathercourse.testing.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the leased shares against their required figures and the rate bench for repeatability. */
class RateBenchTest {
    private static final RateScenario SCENARIO =
            new RateScenario(11, 12, 40, false, 200, 400, 1, 2, 0.3, 2);

    /**
     * Fails if more than 0.5 % of the calls are refused within the rate, the ceiling is exceeded,
     * or two runs with the same seed differ.
     */
    @Test
    void fewRefusalsWithinRateWithoutFaults() {
        Map<String, Object> figures = RateBench.measure(SCENARIO);
        assertThat(figures.get("granted_over_ceiling")).isEqualTo(0L);
        assertThat((double) figures.get("refused_within_rate_pct")).isLessThanOrEqualTo(0.5);
        assertThat(RateBench.measure(SCENARIO)).isEqualTo(figures);
    }

    /**
     * Fails if crashes of grantors or a partition let the daemons together exceed rate and burst.
     */
    @Test
    void ceilingHoldsWithFaults() {
        for (long seed = 1; seed <= 3; seed++) {
            RateScenario faults = new RateScenario(seed, 12, 120, true, 20, 20, 1, 2, 1, 2);
            assertThat(RateBench.measure(faults).get("granted_over_ceiling")).isEqualTo(0L);
        }
    }
}
