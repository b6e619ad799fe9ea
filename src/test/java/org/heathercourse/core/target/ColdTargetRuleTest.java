package org.heathercourse.core.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Stream;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.FleetHistory;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bursts that crash a cold target. A model of a fleet, without a network, sends as
 * many requests as each gateway's rule admits.
 */
class ColdTargetRuleTest {
    private static final long PERIOD_MILLIS = 1_500;

    /** Time between two attempts of each gateway to send. */
    private static final long STEP_MILLIS = 20;

    /** Requests that each gateway would send in a step. */
    private static final int REQUESTS_PER_STEP = 3;

    private static final int WINDOW_STEPS = (int) (1_000 / STEP_MILLIS);
    private static final double RATE = 25;
    private static final Target TARGET = target("cold", 1, 600_000);

    private final TestTime mTime = new TestTime();
    private final List<Gateway> mGateways = new ArrayList<>();
    private final List<Integer> mSentBySteps = new ArrayList<>();

    /** A gateway of the model. */
    private final class Gateway {
        private final TestTime mOwnTime = new TestTime();
        private final FleetHistory mFleets = new FleetHistory(mOwnTime.suspendAwareClock());
        private final ColdTargets mCold = new ColdTargets(mOwnTime.ticker());
        private final ColdTargetRule mRule;
        private boolean mSuspended;

        Gateway(Member self) {
            mRule = new ColdTargetRule(self.vm(), mCold, mFleets, mOwnTime.ticker());
        }

        void advance(long millis) {
            if (mSuspended) {
                mOwnTime.suspend(millis);
            } else {
                mOwnTime.advanceMillis(millis);
            }
        }

        int send(Service service) {
            int sent = 0;
            for (int i = 0; i < REQUESTS_PER_STEP && !mSuspended; i++) {
                sent += mRule.acquire(TARGET, service) ? 1 : 0;
            }
            return sent;
        }
    }

    private static Target target(String id, long started, long coldRemainingMillis) {
        Zone zone = new Zone("z0");
        return new Target(id, started, "s", "10.0.0.1", 80, zone, 4, false, coldRemainingMillis);
    }

    private static Service service(double coldPerSecond) {
        return new Service("s", 64, false, 0, coldPerSecond, 30_000);
    }

    private static Member member(int number, MemberState state) {
        String vm = String.format(Locale.ROOT, "vm%03d", number);
        Zone zone = new Zone("z" + number % 3);
        return new Member(new VmId(vm), 1, zone, vm + ":80", vm, 81, state, 1, PERIOD_MILLIS, 0);
    }

    private static Fleet fleet(Stream<Integer> numbers) {
        return new Fleet(numbers.map(number -> member(number, MemberState.READY)).toList());
    }

    private static Fleet fleet(int from, int to) {
        return fleet(Stream.iterate(from, i -> i + 1).limit(to - from));
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            mGateways.add(new Gateway(member(i, MemberState.READY)));
        }
    }

    private void turnCold() {
        mGateways.forEach(gateway -> gateway.mCold.recordRow(TARGET, 1));
    }

    /** Runs the model; each gateway reads the fleet in each period. */
    private void run(long millis, Service service, Function<Gateway, Fleet> views) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            mTime.advanceMillis(STEP_MILLIS);
            int sent = 0;
            for (Gateway gateway : mGateways) {
                gateway.advance(STEP_MILLIS);
                Fleet view = views.apply(gateway);
                if (elapsed % PERIOD_MILLIS < STEP_MILLIS && view != null && !gateway.mSuspended) {
                    gateway.mFleets.record(view);
                }
                sent += gateway.send(service);
            }
            mSentBySteps.add(sent);
        }
    }

    /** Returns the largest number of requests in any second. */
    private int maxPerSecond() {
        int max = 0;
        int window = 0;
        for (int i = 0; i < mSentBySteps.size(); i++) {
            window += mSentBySteps.get(i);
            if (i >= WINDOW_STEPS) {
                window -= mSentBySteps.get(i - WINDOW_STEPS);
            }
            max = Math.max(max, window);
        }
        return max;
    }

    private int total() {
        return mSentBySteps.stream().mapToInt(Integer::intValue).sum();
    }

    private static int bound(double rate) {
        return (int) (rate * ColdTargetRule.BOUND_RATE_FACTOR + ColdTargetRule.BOUND_CONSTANT);
    }

    /** Guards against the sum of the fleet's requests, and against a target that gets none. */
    @ParameterizedTest
    @ValueSource(ints = {9, 65, 400})
    void burstOfFleetStaysBelowBound(int gateways) {
        start(gateways);
        Fleet all = fleet(0, gateways);
        turnCold();
        run(20_000, service(RATE), gateway -> all);
        assertThat(maxPerSecond()).isLessThanOrEqualTo(bound(RATE) / 2);
        assertThat(total()).isGreaterThan((int) (0.5 * RATE * 12));
    }

    /** Guards against rates for which the bursts of six gateways would be too many. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 5, 10, 25, 200})
    void anyRateStaysBelowBoundWithTwoViews(double rate) {
        start(65);
        turnCold();
        Fleet low = fleet(0, 40);
        Fleet high = fleet(25, 65);
        run(30_000, service(rate), g -> mGateways.indexOf(g) < 33 ? low : high);
        assertThat(maxPerSecond()).isBetween(1, bound(rate));
    }

    /** Guards against two halves of a fleet that each take themselves for the whole one. */
    @ParameterizedTest
    @CsvSource({"9,5", "65,30", "400,200"})
    void twoDisagreeingViewsStayBelowBound(int gateways, int split) {
        start(gateways);
        turnCold();
        Fleet low = fleet(0, split);
        Fleet high = fleet(split, gateways);
        run(20_000, service(RATE), g -> mGateways.indexOf(g) < split ? low : high);
        assertThat(maxPerSecond()).isLessThanOrEqualTo(bound(RATE));
    }

    /** Guards against a whole fleet that starts, in which each gateway sees a few others first. */
    @Test
    void startingFleetStaysBelowBound() {
        start(65);
        turnCold();
        int[] step = new int[mGateways.size()];
        run(
                30_000,
                service(RATE),
                gateway -> {
                    int index = mGateways.indexOf(gateway);
                    step[index]++;
                    long seen = step[index] * STEP_MILLIS / 60;
                    return seen < index ? null : fleet(0, (int) Math.min(65, seen + 1));
                });
        assertThat(maxPerSecond()).isBetween(1, bound(RATE));
    }

    /**
     * Guards against tokens that pile up while a VM is suspended, and against a view from before
     * the suspension.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_000, 8_000, 40_000})
    void suspendedGatewaysSendNoMoreAfterwards(long suspendedMillis) {
        start(9);
        Fleet all = fleet(0, 9);
        turnCold();
        run(12_000, service(RATE), gateway -> all);
        mGateways.forEach(gateway -> gateway.mSuspended = true);
        run(suspendedMillis, service(RATE), gateway -> all);
        mGateways.forEach(gateway -> gateway.mSuspended = false);
        int before = mSentBySteps.size();
        run(200, service(RATE), gateway -> null);
        int afterWakeUp = mSentBySteps.subList(before, before + 10).stream().mapToInt(i -> i).sum();
        assertThat(afterWakeUp).isLessThanOrEqualTo(ColdTargetRule.MAX_SENDERS);
        run(12_000, service(RATE), gateway -> all);
        assertThat(maxPerSecond()).isLessThanOrEqualTo(bound(RATE));
    }

    /**
     * Guards against idle tokens: a gateway that sent nothing for long sends one request at once.
     */
    @Test
    void idleBucketHoldsOneToken() {
        start(1);
        Gateway gateway = mGateways.get(0);
        turnCold();
        for (int i = 0; i < 10; i++) {
            gateway.mFleets.record(fleet(0, 1));
            gateway.advance(PERIOD_MILLIS);
            gateway.mRule.admits(TARGET, service(RATE));
        }
        assertThat(gateway.send(service(RATE))).isEqualTo(1);
    }

    /** Guards against a full bucket at the moment at which a target turns cold. */
    @Test
    void targetThatTurnsColdGetsNoBurst() {
        start(9);
        Fleet all = fleet(0, 9);
        run(12_000, service(RATE), gateway -> all);
        assertThat(total()).isEqualTo(9 * REQUESTS_PER_STEP * 12_000 / (int) STEP_MILLIS);
        mSentBySteps.clear();
        turnCold();
        run(100, service(RATE), gateway -> all);
        assertThat(total()).isZero();
        run(10_000, service(RATE), gateway -> all);
        assertThat(maxPerSecond()).isBetween(1, bound(RATE) / 2);
    }

    /** Guards against gateways that are cut off and go on while others have replaced them. */
    @Test
    void gatewaysThatAreCutOffStopBeforeOthersReplaceThem() {
        start(9);
        Fleet all = fleet(0, 9);
        Fleet remaining = fleet(6, 9);
        turnCold();
        run(12_000, service(RATE), gateway -> all);
        run(30_000, service(RATE), gateway -> mGateways.indexOf(gateway) < 6 ? null : remaining);
        assertThat(maxPerSecond()).isLessThanOrEqualTo(bound(RATE));
        assertThat(mGateways.subList(0, 6)).allMatch(gateway -> gateway.send(service(RATE)) == 0);
    }

    /** Guards against services without a bound that lose requests. */
    @Test
    void noRateMeansNoLimit() {
        start(1);
        turnCold();
        run(1_000, service(0), gateway -> null);
        assertThat(total()).isEqualTo(REQUESTS_PER_STEP * WINDOW_STEPS);
    }

    // Which targets are cold

    private final ColdTargets mCold = new ColdTargets(mTime.ticker());

    private boolean isCold(Target target) {
        return mCold.isCold(target, service(RATE));
    }

    /** Guards against a row that is read again and restarts the time, or that never ends it. */
    @Test
    void timeCountsOnceFromReadOfRow() {
        Target target = target("t", 1, 10_000);
        assertThat(mCold.recordRow(target, 7)).isTrue();
        mTime.advanceMillis(9_000);
        assertThat(mCold.recordRow(target, 7)).isFalse();
        assertThat(isCold(target)).isTrue();
        mTime.advanceMillis(1_000);
        assertThat(isCold(target)).isFalse();
        mCold.recordRow(target, 8);
        assertThat(isCold(target)).isTrue();
        mCold.recordRow(target("t", 1, 0), 9);
        assertThat(isCold(target)).isFalse();
    }

    /** Guards against a late response that makes a cold target warm. */
    @Test
    void responseExtendsTimeOnly() {
        Target target = target("t", 1, 10_000);
        mCold.recordRow(target, 1);
        assertThat(mCold.recordResponse(target, 1_000)).isFalse();
        mCold.recordResponse(target, 0);
        mTime.advanceMillis(9_000);
        mCold.recordResponse(target, 5_000);
        mTime.advanceMillis(4_000);
        assertThat(isCold(target)).isTrue();
        assertThat(mCold.count()).isEqualTo(1);
        mTime.advanceMillis(1_000);
        assertThat(isCold(target)).isFalse();
    }

    /** Guards against a start of a target that inherits the state of the one before. */
    @Test
    void anotherIncarnationIsNotCold() {
        mCold.recordRow(target("t", 1, 10_000), 1);
        assertThat(isCold(target("t", 2, 0))).isFalse();
    }

    /** Guards against a burst at the end of an evacuation, before the rows say that it is cold. */
    @Test
    void zoneIsColdAfterEvacuation() {
        Target target = target("t", 1, 0);
        mCold.recordEvacuationEnd(new Zone("z0"));
        assertThat(isCold(target)).isTrue();
        mTime.advanceMillis(30_000);
        assertThat(isCold(target)).isFalse();
    }

    /** Guards against an overflow that makes a target warm, and against one that stays cold. */
    @Test
    void absurdTimesAreBounded() {
        Target target = target("t", 1, Long.MAX_VALUE);
        mCold.recordRow(target, 1);
        assertThat(isCold(target)).isTrue();
        mTime.advanceMillis(ColdTargets.MAX_COLD_MILLIS);
        assertThat(isCold(target)).isFalse();
    }
}
