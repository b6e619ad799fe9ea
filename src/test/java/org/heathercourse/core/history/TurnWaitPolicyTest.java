package org.heathercourse.core.history;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against turns that wait for the store until no time is left. */
class TurnWaitPolicyTest {
    /** A turn that waits longer has less than half of its time left to run. */
    @Test
    void readLeavesMoreThanHalfOfTheTimeToRun() {
        assertThat(TurnWaitPolicy.maxReadMillis(2_000)).isBetween(1L, 999L);
    }

    /** A negative wait is no valid delay of a timer. */
    @Test
    void passedDeadlineAllowsNoWait() {
        assertThat(TurnWaitPolicy.maxReadMillis(-5)).isZero();
        assertThat(TurnWaitPolicy.maxWriteMillis(-5, 1_000)).isZero();
    }

    /** A longer wait would be cut off by the exit, or by the caller. */
    @Test
    void writeEndsBeforeTheDeadlineAndBeforeTheExit() {
        assertThat(TurnWaitPolicy.maxWriteMillis(300, 1_000)).isEqualTo(300);
        assertThat(TurnWaitPolicy.maxWriteMillis(3_000, 200)).isEqualTo(200);
        assertThat(TurnWaitPolicy.maxWriteMillis(3_000, Long.MAX_VALUE)).isEqualTo(3_000);
    }
}
