package org.heathercourse.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.heathercourse.core.limits.RateWaitPolicy;
import org.junit.jupiter.api.Test;

/** Guards against refusals while slots of a target become free before the deadline. */
class CapacityBackoffTest {
    private static final int SLOTS = 6;
    private static final long DEADLINE_MILLIS = 1_200;

    /** An attempt of a call that arrives at the target at a given time. */
    private record Arrival(long atMillis, int previousDelays, long delayedMillis) {}

    @Test
    void delaysGrowUntilRemainingTimeIsTooShort() {
        assertThat(CapacityBackoff.delayMillis(0, 500)).isEqualTo(15);
        assertThat(CapacityBackoff.delayMillis(1, 500)).isEqualTo(30);
        assertThat(CapacityBackoff.delayMillis(9, 500)).isEqualTo(60);
        assertThat(CapacityBackoff.delayMillis(9, 40)).isEqualTo(40);
        assertThat(CapacityBackoff.delayMillis(9, 14)).isZero();
    }

    @Test
    void stopsRetryingAtMaxAttempts() {
        AttemptHistory history = new AttemptHistory(false, 1);
        int attempts = 0;
        while (history.canRetryAfterDelay()) {
            history.recordAttempt("a", Delivery.NOT_RUN, false);
            history.resetRejections();
            assertThat(history.excluded()).isEmpty();
            attempts++;
        }
        assertThat(attempts).isEqualTo(12);
    }

    @Test
    void doesNotDelayRequestThatMayHaveRun() {
        AttemptHistory history = new AttemptHistory(true, 2);
        history.recordAttempt("a", Delivery.MAY_HAVE_RUN, true);
        assertThat(history.canRetryAfterDelay()).isFalse();
        history.resetRejections();
        assertThat(history.excluded()).containsExactly("a");
    }

    /**
     * Replays bursts of calls at the last of three targets, whose slots suffice on average.
     *
     * @return number of refused calls of 1,000
     */
    private static int countRefused(boolean withBackoff) {
        SplittableRandom random = new SplittableRandom(3);
        PriorityQueue<Arrival> arrivals =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        long atMillis = 0;
        for (int calls = 0; calls < 1_000; ) {
            atMillis += random.nextInt(100);
            int burstSize = Math.min(1_000 - calls, 1 + random.nextInt(16));
            for (int i = 0; i < burstSize; i++) {
                arrivals.add(new Arrival(atMillis, 0, 0));
            }
            calls += burstSize;
        }
        PriorityQueue<Long> ends = new PriorityQueue<>();
        int refused = 0;
        while (!arrivals.isEmpty()) {
            Arrival call = arrivals.remove();
            while (!ends.isEmpty() && ends.peek() <= call.atMillis()) {
                ends.remove();
            }
            if (ends.size() < SLOTS) {
                ends.add(call.atMillis() + 5 + random.nextInt(30));
                continue;
            }
            long remainingMillis =
                    RateWaitPolicy.remainingWaitMillis(
                            call.delayedMillis(), DEADLINE_MILLIS - call.delayedMillis(), false);
            long delayMillis =
                    withBackoff
                            ? CapacityBackoff.delayMillis(call.previousDelays(), remainingMillis)
                            : 0;
            if (delayMillis == 0) {
                refused++;
            } else {
                arrivals.add(
                        new Arrival(
                                call.atMillis() + delayMillis,
                                call.previousDelays() + 1,
                                call.delayedMillis() + delayMillis));
            }
        }
        return refused;
    }

    @Test
    void servesBurstsAtLastTargetWithoutRefusals() {
        assertThat(countRefused(false)).as("without backoff").isGreaterThan(100);
        assertThat(countRefused(true)).as("with backoff").isZero();
    }
}
