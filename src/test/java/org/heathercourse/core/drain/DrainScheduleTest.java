package org.heathercourse.core.drain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Guards against requests that a leaving process admits although it exits before they end. */
class DrainScheduleTest {
    private static final long START_MILLIS = 10_000;
    private static final DrainSchedule SCHEDULE = DrainSchedule.of(START_MILLIS, 3_000, 7_000);

    @Test
    void admitsAllRequestsUntilTheEndOfTheServingTime() {
        assertThat(DrainSchedule.NOT_LEAVING.admits(START_MILLIS, Long.MAX_VALUE)).isTrue();
        assertThat(SCHEDULE.admits(START_MILLIS + 2_999, 60_000)).isTrue();
    }

    @Test
    void admitsLaterOnlyWhatEndsBeforeTheExit() {
        assertThat(SCHEDULE.admits(START_MILLIS + 3_000, 4_000)).isTrue();
        assertThat(SCHEDULE.admits(START_MILLIS + 3_000, 4_001)).isFalse();
        assertThat(SCHEDULE.admits(START_MILLIS + 6_900, 100)).isTrue();
        assertThat(SCHEDULE.admits(START_MILLIS + 7_001, 0)).isFalse();
        assertThat(SCHEDULE.admits(START_MILLIS + 3_000, Long.MAX_VALUE)).isFalse();
    }

    @Test
    void measuresTimesFromTheStopSignal() {
        assertThat(DrainSchedule.NOT_LEAVING.millisSinceStart(START_MILLIS)).isEqualTo(-1);
        assertThat(SCHEDULE.millisSinceStart(START_MILLIS + 5)).isEqualTo(5);
        assertThat(SCHEDULE.millisToServeEnd(START_MILLIS + 3_001)).isZero();
        assertThat(SCHEDULE.millisToResponseEnd(START_MILLIS + 3_000)).isEqualTo(4_000);
        assertThatThrownBy(() -> DrainSchedule.of(0, 2, 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
