package org.heathercourse.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.heathercourse.core.model.RetrySafety;
import org.junit.jupiter.api.Test;

/** Tests the limits of retries and hedged calls. */
class RetryTest {
    private static final long SEED = 17L;

    /** Guards against retries that exceed their ratio of the calls. */
    @Test
    void limitsRetriesToShareOfCalls() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        RetryBudget budget = RetryBudget.full(0.1);
        int calls = 0;
        int retries = 0;
        for (int i = 0; i < 100_000; i++) {
            if (random.nextBoolean()) {
                budget = budget.afterCall();
                calls++;
            } else if (budget.allowsRetry()) {
                budget = budget.afterRetry();
                retries++;
            }
            assertThat((double) retries).isLessThanOrEqualTo(10 + 0.1 * calls + 1e-6);
        }
        assertThat((double) retries).isGreaterThan(0.09 * calls);
        assertThat(RetryBudget.full(0).allowsRetry()).isFalse();
    }

    /** Guards against hedging non-idempotent calls, answered calls and fast calls. */
    @Test
    void hedgesOnlySlowIdempotentCalls() {
        RetryBudget budget = RetryBudget.full(0.1);
        assertThat(HedgeRule.allows(RetrySafety.IDEMPOTENT, false, 10_000, 100, budget)).isTrue();
        assertThat(HedgeRule.allows(RetrySafety.NON_IDEMPOTENT, false, 10_000, 100, budget))
                .isFalse();
        assertThat(HedgeRule.allows(RetrySafety.IDEMPOTENT, true, 10_000, 100, budget)).isFalse();
        assertThat(HedgeRule.allows(RetrySafety.IDEMPOTENT, false, 1_000, 100, budget)).isFalse();
    }
}
