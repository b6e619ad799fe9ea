package org.heathercourse.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/**
 * Guards against a key that is honoured beyond its bound because a belief seems younger than it is.
 */
class ReadFreshnessTest {
    private final TestTime mTime = new TestTime();
    private final ReadFreshness mFreshness = new ReadFreshness(mTime.suspendAwareClock());

    @Test
    void neverReadIsNeverFresh() {
        assertThat(mFreshness.isYoungerThan(Long.MAX_VALUE)).isFalse();
    }

    @Test
    void ageCountsFromTheStartOfTheRead() {
        SuspendAwareClock.Timestamp started = mTime.suspendAwareClock().now();
        mTime.advanceMillis(900);
        mFreshness.recordRead(started);
        assertThat(mFreshness.ageMillis()).isEqualTo(900);
    }

    @Test
    void suspensionAges() {
        mFreshness.recordRead(mTime.suspendAwareClock().now());
        mTime.suspend(4_000);
        assertThat(mFreshness.isYoungerThan(3_700)).isFalse();
    }

    @Test
    void clockThatIsSetBackDoesNotMakeYounger() {
        mFreshness.recordRead(mTime.suspendAwareClock().now());
        mTime.advanceMillis(4_000);
        mTime.shiftClock(-10_000);
        assertThat(mFreshness.ageMillis()).isEqualTo(4_000);
    }

    @Test
    void slowReadThatEndsLateDoesNotReplaceNewerOne() {
        SuspendAwareClock.Timestamp slow = mTime.suspendAwareClock().now();
        mTime.advanceMillis(1_000);
        mFreshness.recordRead(mTime.suspendAwareClock().now());
        mFreshness.recordRead(slow);
        assertThat(mFreshness.ageMillis()).isZero();
    }
}
