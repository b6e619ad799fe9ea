package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against programs that fail because requests are rejected although their workspace is below
 * its rate.
 */
class RateWaitPolicyTest {
    private static final int RATE_PER_SECOND = 40;
    private static final long DEADLINE_MILLIS = 1_200;

    @Test
    void requestWaitsLessThanHalfOfItsTime() {
        assertThat(RateWaitPolicy.remainingWaitMillis(0, 1_000, false)).isEqualTo(450);
        assertThat(RateWaitPolicy.remainingWaitMillis(440, 560, false)).isEqualTo(10);
        assertThat(RateWaitPolicy.remainingWaitMillis(455, 545, false)).isZero();
        assertThat(RateWaitPolicy.remainingWaitMillis(490, 9_000, false)).isEqualTo(10);
        assertThat(RateWaitPolicy.remainingWaitMillis(500, 9_000, false)).isZero();
    }

    @Test
    void newProgramWaitsLessAndRetriesLater() {
        assertThat(RateWaitPolicy.remainingWaitMillis(0, 4_000, true)).isEqualTo(300);
        assertThat(RateWaitPolicy.remainingWaitMillis(300, 3_700, true)).isZero();
        assertThat(RateWaitPolicy.retryAfterMillis(true, 10, 0)).isEqualTo(500);
        assertThat(RateWaitPolicy.retryAfterMillis(true, 10, 0.5)).isEqualTo(750);
        assertThat(RateWaitPolicy.retryAfterMillis(true, 800, 0.5)).isEqualTo(1_050);
        assertThat(RateWaitPolicy.retryAfterMillis(false, 10, 0.5)).isEqualTo(10);
    }

    /**
     * Simulates one burst in a workspace with a full token bucket.
     *
     * @param burst number of requests that arrive at once
     * @param mayWait whether requests may wait
     * @return number of rejected requests
     */
    private static int countRejected(int burst, boolean mayWait) {
        TokenBucket bucket = new TokenBucket(RATE_PER_SECOND, RATE_PER_SECOND, RATE_PER_SECOND, 0);
        long maxWaitMillis =
                mayWait ? RateWaitPolicy.remainingWaitMillis(0, DEADLINE_MILLIS, false) : 0;
        long maxWaitNanos = TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
        int rejected = 0;
        for (int i = 0; i < burst; i++) {
            rejected += bucket.reserve(0, maxWaitNanos, 0) > maxWaitNanos ? 1 : 0;
        }
        return rejected;
    }

    /** A call may wait half a second, during which 40 tokens per second provide 20 more. */
    @Test
    void burstThatTheRateCanServeInTimeIsNotRejected() {
        assertThat(countRejected(RATE_PER_SECOND + 20, false)).isEqualTo(20);
        assertThat(countRejected(RATE_PER_SECOND + 20, true)).isZero();
        assertThat(countRejected(RATE_PER_SECOND + 30, true)).isBetween(9, 10);
    }
}
