package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against programs that fail by refusals although their workspace is below its rate. */
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
    void programThatHasNotBegunWaitsLessAndComesBackLater() {
        assertThat(RateWaitPolicy.remainingWaitMillis(0, 4_000, true)).isEqualTo(300);
        assertThat(RateWaitPolicy.remainingWaitMillis(300, 3_700, true)).isZero();
        assertThat(RateWaitPolicy.retryAfterMillis(true, 10, 0)).isEqualTo(500);
        assertThat(RateWaitPolicy.retryAfterMillis(true, 10, 0.5)).isEqualTo(750);
        assertThat(RateWaitPolicy.retryAfterMillis(true, 800, 0.5)).isEqualTo(1_050);
        assertThat(RateWaitPolicy.retryAfterMillis(false, 10, 0.5)).isEqualTo(10);
    }

    /**
     * Replays one burst at a workspace whose tokens are all there.
     *
     * @param burst requests that come at once
     * @param hold whether requests may wait
     * @return refused requests
     */
    private static int refusedOf(int burst, boolean hold) {
        TokenBucket bucket = new TokenBucket(RATE_PER_SECOND, RATE_PER_SECOND, RATE_PER_SECOND, 0);
        long mostMillis = hold ? RateWaitPolicy.remainingWaitMillis(0, DEADLINE_MILLIS, false) : 0;
        long mostNanos = TimeUnit.MILLISECONDS.toNanos(mostMillis);
        int refused = 0;
        for (int i = 0; i < burst; i++) {
            refused += bucket.reserve(0, mostNanos, 0) > mostNanos ? 1 : 0;
        }
        return refused;
    }

    /** A call may wait half a second, in which 40 tokens a second make 20 more. */
    @Test
    void burstThatTheRateCanServeInTimeIsNotRefused() {
        assertThat(refusedOf(RATE_PER_SECOND + 20, false)).isEqualTo(20);
        assertThat(refusedOf(RATE_PER_SECOND + 20, true)).isZero();
        assertThat(refusedOf(RATE_PER_SECOND + 30, true)).isBetween(9, 10);
    }
}
