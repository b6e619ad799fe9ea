package org.heathercourse.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.heathercourse.core.model.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests admission control, the adaptive limit and the circuit breaker. */
class AdmissionTest {
    private static final long SEED = 13L;

    /** Guards against refusing a call within limit and deadline, or admitting one beyond them. */
    @Test
    void admitsLikeDirectComparisons() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        double[] headroom = {1.25, 1.0, 0.8};
        for (int i = 0; i < 20_000; i++) {
            RequestClass requestClass = RequestClass.values()[random.nextInt(3)];
            double inFlight = random.nextInt(100);
            double limit = 1 + random.nextInt(100);
            double expected = random.nextDouble(100_000);
            long deadline = random.nextLong(100_000);
            boolean expectedAdmission =
                    inFlight + 1 <= limit * headroom[requestClass.ordinal()]
                            && expected <= deadline;
            long retryAfterMillis =
                    AdmissionRule.retryAfterMillis(
                            requestClass, inFlight, limit, 3_000, expected, deadline);
            assertThat(retryAfterMillis == 0).as("round " + i).isEqualTo(expectedAdmission);
            assertThat(retryAfterMillis).isBetween(0L, AdmissionRule.MAX_RETRY_AFTER_MILLIS);
        }
    }

    /** Guards against refusing running programs, urgent calls or workspaces within their share. */
    @Test
    void refusesOnlyNewProgramsAboveShareDuringCacheShortage() {
        assertThat(ProgramStartRule.refuses(RequestClass.INTERACTIVE, 0, 1, 0.5)).isTrue();
        assertThat(ProgramStartRule.refuses(RequestClass.INTERACTIVE, 5, 1, 0.5)).isFalse();
        assertThat(ProgramStartRule.refuses(RequestClass.URGENT, 0, 1, 0.5)).isFalse();
        assertThat(ProgramStartRule.refuses(RequestClass.INTERACTIVE, 0, 0.1, 0.5)).isFalse();
        assertThat(ProgramStartRule.refuses(RequestClass.INTERACTIVE, 0, 1, 0)).isFalse();
    }

    /** Guards against a limit that leaves its bounds or collapses after one burst of long waits. */
    @Test
    void limitStaysWithinBoundsAndDecreasesOncePerBurst() {
        AdaptiveLimit limit = AdaptiveLimit.of(64);
        for (int i = 0; i < 100; i++) {
            limit = limit.observe(90_000, 100_000, 64, 1_000);
        }
        assertThat(limit.limit()).isGreaterThan(50);
        for (int i = 0; i < 1_000; i++) {
            limit = limit.observe(90_000, 100_000, 64, 10_000L * i);
        }
        assertThat(limit.limit()).isGreaterThanOrEqualTo(16);
        for (int i = 0; i < 10_000; i++) {
            limit = limit.observe(0, 100_000, limit.limit(), 0);
        }
        assertThat(limit.limit()).isEqualTo(64);
    }

    /** Guards against calls to a persistently failing target and against blocking it forever. */
    @Test
    void breakerOpensAfterThreeFailuresAndClosesOnSuccess() {
        CircuitBreaker breaker = CircuitBreaker.CLOSED.afterFailure(0).afterFailure(0);
        assertThat(breaker.allows(0)).isTrue();
        breaker = breaker.afterFailure(0);
        assertThat(breaker.allows(999)).isFalse();
        assertThat(breaker.allows(1_000)).isTrue();
        breaker = breaker.afterFailure(1_000);
        assertThat(breaker.allows(2_500)).isFalse();
        assertThat(breaker.afterSuccess().allows(1_001)).isTrue();
        for (int i = 0; i < 100; i++) {
            breaker = breaker.afterFailure(0);
        }
        assertThat(breaker.openUntilMillis()).isLessThanOrEqualTo(16_000);
    }
}
