package org.heathercourse.testing.bench.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a check of the fleet-wide rate that cannot fail, or that blames slow answers. */
class RateCeilingTest {
    @Test
    void ceilingThatIsKeptShowsNoExcess() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 5; i++) {
            ceiling.admitted(0, 1);
        }
        for (int i = 1; i <= 50; i++) {
            ceiling.admitted(100L * i, 100L * i + 1);
        }
        assertThat(ceiling.excess()).isZero();
    }

    @Test
    void requestsAboveBurstAndRateAreCounted() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 20; i++) {
            ceiling.admitted(i, i + 1);
        }
        assertThat(ceiling.excess()).isEqualTo(14);
    }

    @Test
    void requestsWhoseAnswerTookLongProveNothing() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 20; i++) {
            ceiling.admitted(i, 5_000);
        }
        assertThat(ceiling.excess()).isZero();
    }
}
