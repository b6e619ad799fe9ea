package org.heathercourse.testing.bench.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Fails if the check of the rate misses excess requests or counts slow answers as excess. */
class RateCeilingTest {
    @Test
    void admissionsWithinCeilingHaveNoExcess() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 5; i++) {
            ceiling.recordAdmission(0, 1);
        }
        for (int i = 1; i <= 50; i++) {
            ceiling.recordAdmission(100L * i, 100L * i + 1);
        }
        assertThat(ceiling.maxExcess()).isZero();
    }

    @Test
    void requestsAboveBurstAndRateAreCounted() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 20; i++) {
            ceiling.recordAdmission(i, i + 1);
        }
        assertThat(ceiling.maxExcess()).isEqualTo(14);
    }

    @Test
    void slowAnswersAreNotCountedAsExcess() {
        RateCeiling ceiling = new RateCeiling(10, 5);
        for (int i = 0; i < 20; i++) {
            ceiling.recordAdmission(i, 5_000);
        }
        assertThat(ceiling.maxExcess()).isZero();
    }
}
