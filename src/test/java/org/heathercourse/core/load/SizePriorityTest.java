package org.heathercourse.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against long prompts that delay short ones, or that are starved by them. */
class SizePriorityTest {
    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private static int priority(
            int route, long tokens, long waitedMillis, long programRemainingMillis) {
        return SizePriority.of(
                route,
                new SizePriority.Request(
                        tokens, OBJECTIVE_MILLIS, waitedMillis, programRemainingMillis));
    }

    @Test
    void ordersShortBeforeLongWithinPriorityOfRoute() {
        assertThat(priority(0, 500, 0, NO_DEADLINE)).isEqualTo(0);
        assertThat(priority(0, 10_000, 0, NO_DEADLINE)).isEqualTo(1);
        assertThat(priority(0, 60_000, 0, NO_DEADLINE)).isEqualTo(2);
        assertThat(priority(1, 500, 0, NO_DEADLINE)).isEqualTo(3);
        assertThat(priority(2, 60_000, 0, NO_DEADLINE)).isEqualTo(8);
    }

    @Test
    void staysWithinTheRange() {
        assertThat(priority(3, 60_000, 0, NO_DEADLINE)).isEqualTo(9);
        assertThat(priority(9, 0, 0, NO_DEADLINE)).isEqualTo(9);
    }

    @Test
    void doesNotHoldBackLongRequestThatWaitedOrIsNearItsDeadline() {
        assertThat(priority(1, 60_000, 300, NO_DEADLINE)).isEqualTo(3);
        assertThat(priority(1, 60_000, 0, 2_000)).isEqualTo(3);
        assertThat(priority(1, 60_000, 0, 60_000)).isEqualTo(5);
    }
}
