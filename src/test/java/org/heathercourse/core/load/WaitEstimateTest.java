package org.heathercourse.core.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.load.OwnWork.Outcome;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetLoad;
import org.heathercourse.core.target.TargetSelector.SelectionContext;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/** Guards the estimate of waits against old replies, forgotten dispatches and slow targets. */
class WaitEstimateTest {
    private static final double FALLBACK_MILLIS = 12_345;
    private static final int SLOTS = 4;

    /** Noise of a reply that is less than a second old. */
    private static final double MAX_NOISE_MILLIS = 100;

    private final TestTime mTime = new TestTime();
    private final SuspendAwareClock mClock = mTime.suspendAwareClock();
    private final OwnWork mOwn = new OwnWork();
    private SharedLoad mShared;
    private final WaitEstimate mEstimate =
            new WaitEstimate(
                    () -> mShared,
                    mOwn,
                    mClock,
                    new SplittableRandom(3),
                    (target, load, preferred, context) -> FALLBACK_MILLIS);

    private static Target target(String id) {
        return new Target(id, 1, "s", "10.0.0.1", 80, new Zone("z"), SLOTS, false);
    }

    private double waitMillis(Target target) {
        return mEstimate.waitMillis(
                target, new TargetLoad(), true, new SelectionContext("p", 1_200, 3, 0));
    }

    private void share(Map<String, TargetWork> work, long ageMillis, long collectingMillis) {
        mShared =
                new SharedLoad(
                        work,
                        SpeedTable.of(work, target -> "s"),
                        mClock.now(),
                        ageMillis,
                        collectingMillis);
    }

    @Test
    void countsTheWorkOfOthersAndItsOwnDispatches() {
        Target target = target("a");
        share(Map.of(target.incarnation(), new TargetWork(1, 60_000, 30, 0, 0)), 0, 1_000);
        assertThat(waitMillis(target)).isCloseTo(1_000, within(MAX_NOISE_MILLIS));
        OwnWork.Ticket ticket = mOwn.begin(target, 60_000, 30, 0, 0);
        assertThat(waitMillis(target)).isCloseTo(2_000, within(MAX_NOISE_MILLIS));
        ticket.recordAnswerBegun();
        assertThat(waitMillis(target)).isCloseTo(1_000, within(MAX_NOISE_MILLIS));
    }

    @Test
    void waitsForSlotIfNoneIsFree() {
        Target target = target("a");
        share(Map.of(target.incarnation(), new TargetWork(8, 0, 1_600, 0, 0)), 0, 1_000);
        // 1,600 tokens of 5 ms in 4 slots take 2,000 ms; 5 of 8 requests must end first.
        assertThat(waitMillis(target)).isCloseTo(1_250, within(MAX_NOISE_MILLIS));
    }

    @Test
    void fallsBackWithoutUsableReply() {
        Target target = target("a");
        assertThat(waitMillis(target)).isEqualTo(FALLBACK_MILLIS);
        share(Map.of(), 0, SharedLoad.MIN_COLLECTING_MILLIS - 1);
        assertThat(waitMillis(target)).as("owner has just begun").isEqualTo(FALLBACK_MILLIS);
        share(Map.of(), 0, 1_000);
        assertThat(waitMillis(target)).isLessThan(MAX_NOISE_MILLIS);
        mTime.advanceMillis(SharedLoad.MAX_AGE_MILLIS);
        assertThat(waitMillis(target)).as("old reply").isEqualTo(FALLBACK_MILLIS);
        share(Map.of(), 0, 1_000);
        mTime.suspend(5_000);
        assertThat(waitMillis(target)).as("after a suspension").isEqualTo(FALLBACK_MILLIS);
    }

    /** Guards against equal treatment of engines whose speeds differ by a factor of 2.4. */
    @Test
    void slowTargetsHaveLongerWaits() {
        Map<String, TargetWork> work =
                Map.of(
                        "a@1", new TargetWork(1, 60_000, 30, 3_500, 5_000),
                        "b@1", new TargetWork(1, 60_000, 30, 3_500, 5_000),
                        "c@1", new TargetWork(1, 60_000, 30, 8_500, 5_000));
        share(work, 0, 1_000);
        assertThat(waitMillis(target("a"))).isGreaterThan(1_300);
        assertThat(waitMillis(target("c"))).isLessThan(800);
    }

    /** Guards against a target that fails or stalls and looks fast because it has little work. */
    @Test
    void failuresAndOverdueRequestsLowerTheSpeed() {
        Target failing = target("a");
        Target stalled = target("b");
        Target sound = target("c");
        for (int i = 0; i < 10; i++) {
            mOwn.begin(failing, 600, 30, 160, 0).end(Outcome.FAILED, 200);
            mOwn.begin(sound, 600, 30, 160, 0).end(Outcome.ANSWERED, 160);
        }
        mOwn.begin(stalled, 600, 30, 160, 0);
        SpeedTable speeds = SpeedTable.of(mOwn.snapshot(2_000), target -> "s");
        double soundSpeed = speeds.speed(sound.incarnation(), "s");
        assertThat(speeds.speed(failing.incarnation(), "s")).isLessThan(soundSpeed / 2);
        assertThat(speeds.speed(stalled.incarnation(), "s")).isLessThan(soundSpeed / 2);
    }

    /** Guards against a failing target that attracts requests because it answers none. */
    @Test
    void idleTargetThatFailsIsMoreExpensiveThanIdleTargets() {
        share(
                Map.of(
                        "a@1", new TargetWork(0, 0, 0, 0, 3_000),
                        "b@1", new TargetWork(0, 0, 0, 3_000, 3_000),
                        "c@1", new TargetWork(0, 0, 0, 3_000, 3_000)),
                0,
                1_000);
        assertThat(waitMillis(target("a"))).isGreaterThan(300);
        assertThat(waitMillis(target("b"))).isZero();
    }

    @Test
    void forgetsTargetsWithoutWork() {
        mOwn.begin(target("a"), 600, 30, 160, 0).end(Outcome.ANSWERED, 160);
        assertThat(mOwn.snapshot(200)).hasSize(1);
        assertThat(mOwn.snapshot(60_000)).isEmpty();
    }

    /** Guards against requests that noise sends to another zone while a target here is idle. */
    @Test
    void idleTargetsHaveNoNoise() {
        share(Map.of(), 1_000, 1_000);
        assertThat(waitMillis(target("a"))).isZero();
    }

    /** Guards against gateways with the same reply that all choose the same target. */
    @Test
    void oldRepliesSpreadEqualGateways() {
        TargetWork full = new TargetWork(SLOTS, 0, 100, 0, 0);
        share(Map.of("a@1", full, "b@1", full), 1_000, 1_000);
        int first = 0;
        for (int i = 0; i < 1_000; i++) {
            first += waitMillis(target("a")) < waitMillis(target("b")) ? 1 : 0;
        }
        assertThat(first).isBetween(400, 600);
    }
}
