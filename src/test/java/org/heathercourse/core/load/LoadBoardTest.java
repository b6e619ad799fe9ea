package org.heathercourse.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.heathercourse.core.load.LoadBoard.Source;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/**
 * Guards the sums of the load owner against work that is counted twice, too long, or not at all.
 */
class LoadBoardTest {
    private static final TargetWork WORK = new TargetWork(2, 1_000, 60, 400, 500);

    private final TestTime mTime = new TestTime();
    private final LoadBoard mBoard = new LoadBoard(mTime.suspendAwareClock());

    private void record(String gateway, long incarnation, TargetWork work) {
        mBoard.record(Source.GATEWAY, gateway, incarnation, Map.of("t@1", work));
    }

    private TargetWork others(String gateway) {
        return mBoard.sumOfOthers(gateway).work().getOrDefault("t@1", TargetWork.NONE);
    }

    @Test
    void leavesOutTheWorkOfTheAskingGateway() {
        record("a", 1, WORK);
        record("b", 1, WORK);
        assertThat(others("a")).isEqualTo(WORK);
        assertThat(others("c")).isEqualTo(WORK.plus(WORK));
    }

    @Test
    void replacesTheLastReportOfGateway() {
        record("a", 1, WORK);
        record("a", 1, WORK.plus(WORK));
        mBoard.record(Source.GATEWAY, "a", 1, Map.of());
        assertThat(mBoard.zoneSum().work()).isEmpty();
    }

    @Test
    void forgetsReportsAfterTwoSeconds() {
        record("a", 1, WORK);
        mTime.advanceMillis(LoadBoard.EXPIRY_MILLIS - 1);
        assertThat(others("b")).isEqualTo(WORK);
        mTime.advanceMillis(200);
        assertThat(others("b")).isEqualTo(TargetWork.NONE);
        assertThat(mBoard.reportCount()).isZero();
    }

    /** Guards against an owner that resumes and replies with the load before its suspension. */
    @Test
    void forgetsReportsFromBeforeSuspension() {
        record("a", 1, WORK);
        mTime.suspend(5_000);
        record("b", 1, WORK);
        assertThat(others("b")).isEqualTo(TargetWork.NONE);
        assertThat(mBoard.sumOfOthers("b").collectingMillis()).isZero();
    }

    @Test
    void ignoresLateReportsOfAnOlderProcess() {
        record("a", 2, WORK);
        record("a", 1, WORK.plus(WORK));
        assertThat(others("b")).isEqualTo(WORK);
        record("a", 3, TargetWork.NONE);
        assertThat(others("b")).isEqualTo(TargetWork.NONE);
    }

    /** Guards against work that returns to its own zone and is counted again. */
    @Test
    void keepsWorkOfOtherZonesOutOfTheZonesSum() {
        record("a", 1, WORK);
        mBoard.record(Source.ZONE, "z2", 0, Map.of("t@1", WORK));
        assertThat(others("a")).isEqualTo(WORK);
        assertThat(mBoard.zoneSum().work()).containsExactlyEntriesOf(Map.of("t@1", WORK));
    }

    @Test
    void leavesOutInvalidWork() {
        record("a", 1, new TargetWork(-5, 0, 0, 0, 0));
        assertThat(mBoard.zoneSum().work()).isEmpty();
    }

    @Test
    void tellsTheMeanAgeOfReports() {
        record("a", 1, WORK);
        mTime.advanceMillis(400);
        record("b", 1, WORK);
        mTime.advanceMillis(200);
        assertThat(mBoard.zoneSum().ageMillis()).isEqualTo(400);
        assertThat(mBoard.zoneSum().collectingMillis()).isEqualTo(600);
    }
}
