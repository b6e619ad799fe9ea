package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/** Guards against gateways that together use more than the rate of a workspace. */
class RateFractionsTest {
    private static final int GATEWAYS = 6;
    private static final int STEPS = 600;
    private static final long STEP_MILLIS = 50;
    private static final double ROUNDING = 1e-6;

    private static ShareTable table(int... numbers) {
        return new ShareTable(Arrays.stream(numbers).mapToObj(i -> "vm-" + i).toList());
    }

    private static List<RateFractions> gateways(TestTime time, ShareEpoch epoch, int count) {
        List<RateFractions> gateways = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RateFractions fractions = new RateFractions("vm-" + i, time.suspendAwareClock());
            fractions.onRead(epoch, time.suspendAwareClock().now());
            gateways.add(fractions);
        }
        return gateways;
    }

    /** Guards against a late reply that shortens the validity of a newer one. */
    @Test
    void lateReplyDoesNotReplaceNewerRead() {
        TestTime time = new TestTime();
        ShareEpoch epoch = ShareEpoch.first(table(0));
        RateFractions fractions = gateways(time, epoch, 1).get(0);
        SuspendAwareClock.Timestamp olderRead = time.suspendAwareClock().now();
        time.advanceMillis(3_000);
        fractions.onRead(epoch, time.suspendAwareClock().now());
        fractions.onRead(epoch, olderRead);
        time.advanceMillis(RateFractions.READ_VALID_MILLIS - 1);
        assertThat(fractions.fraction("w")).isEqualTo(1);
    }

    @Test
    void twoGatewaysOwnEqualPartsOfEachRate() {
        ShareTable table = table(0, 1, 2, 3, 4, 5);
        for (int w = 0; w < 50; w++) {
            String workspace = "w" + w;
            assertThat(table.owners(workspace)).hasSize(2).doesNotHaveDuplicates();
            double sum = 0;
            for (int i = 0; i < GATEWAYS; i++) {
                boolean owner = table.owners(workspace).contains("vm-" + i);
                assertThat(table.fraction("vm-" + i, workspace)).isEqualTo(owner ? 0.5 : 0);
                sum += table.fraction("vm-" + i, workspace);
            }
            assertThat(sum).isEqualTo(1);
        }
        assertThat(table(3).fraction("vm-3", "w")).isEqualTo(1);
        assertThat(table.fraction("vm-9", "w")).isZero();
    }

    /** Guards against one gateway that owns most rates of a large deployment. */
    @Test
    void ratesOfManyWorkspacesAreSpreadOverTheGateways() {
        ShareTable table = table(0, 1, 2, 3, 4, 5);
        int[] owned = new int[GATEWAYS];
        for (int w = 0; w < 360; w++) {
            for (int i = 0; i < GATEWAYS; i++) {
                owned[i] += table.owners("w" + w).contains("vm-" + i) ? 1 : 0;
            }
        }
        assertThat(Arrays.stream(owned).min().getAsInt()).isGreaterThan(80);
    }

    /** Guards against a change of members after which no gateway may use a workspace's rate. */
    @Test
    void halfOfEachRateStaysInUseWhenOneGatewayJoinsOrFails() {
        ShareEpoch joined = ShareEpoch.first(table(0, 1, 2, 3, 4)).next(table(0, 1, 2, 3, 4, 5));
        ShareEpoch failed = ShareEpoch.first(table(0, 1, 2, 3, 4, 5)).next(table(0, 1, 2, 3, 4));
        for (ShareEpoch epoch : List.of(joined, failed)) {
            List<RateFractions> gateways = gateways(new TestTime(), epoch, GATEWAYS);
            for (int w = 0; w < 50; w++) {
                String workspace = "w" + w;
                double sum = gateways.stream().mapToDouble(h -> h.fraction(workspace)).sum();
                assertThat(sum).as(workspace).isGreaterThanOrEqualTo(0.5);
            }
        }
    }

    @Test
    void newMemberWaitsUntilTheOthersUseTheNewEpoch() {
        TestTime time = new TestTime();
        RateFractions fractions = new RateFractions("vm-1", time.suspendAwareClock());
        ShareEpoch second = ShareEpoch.first(table(0)).next(table(0, 1));
        fractions.onRead(second, time.suspendAwareClock().now());
        assertThat(fractions.fraction("w")).isZero();
        time.advanceMillis(RateFractions.SETTLE_MILLIS);
        fractions.onRead(second, time.suspendAwareClock().now());
        assertThat(fractions.fraction("w")).isEqualTo(0.5);
    }

    @Test
    void restartedMemberUsesTheSmallerOfBothFractionsAtOnce() {
        TestTime time = new TestTime();
        RateFractions fractions = new RateFractions("vm-0", time.suspendAwareClock());
        fractions.onRead(
                ShareEpoch.first(table(0)).next(table(0, 1)), time.suspendAwareClock().now());
        assertThat(fractions.fraction("w")).isEqualTo(0.5);
        fractions = new RateFractions("vm-0", time.suspendAwareClock());
        fractions.onRead(
                ShareEpoch.first(table(0, 1)).next(table(0)), time.suspendAwareClock().now());
        assertThat(fractions.fraction("w")).isEqualTo(0.5);
    }

    @Test
    void suspendedGatewayGrantsNothing() {
        TestTime time = new TestTime();
        RateFractions fractions = new RateFractions("vm-0", time.suspendAwareClock());
        fractions.onRead(ShareEpoch.first(table(0)), time.suspendAwareClock().now());
        assertThat(fractions.fraction("w")).isEqualTo(1);
        time.suspend(RateFractions.READ_VALID_MILLIS);
        assertThat(fractions.fraction("w")).isZero();
    }

    /** Uses a new epoch at once, which the check must detect. */
    private static final class ImmediateRateFractions extends RateFractions {
        ImmediateRateFractions(String self, SuspendAwareClock clock) {
            super(self, clock);
        }

        @Override
        boolean isSettled(long seenMillis) {
            return true;
        }
    }

    /**
     * Simulates random epochs, late and failed reads, and restarts of gateways.
     *
     * @return the largest sum of fractions in use at one time
     */
    private static double largestSum(long seed, boolean immediate) {
        SplittableRandom random = new SplittableRandom(seed);
        TestTime time = new TestTime();
        RateFractions[] gateways = new RateFractions[GATEWAYS];
        ShareEpoch epoch = ShareEpoch.first(randomTable(random));
        long writtenMillis = 0;
        double largest = 0;
        for (int step = 0; step < STEPS; step++) {
            for (int i = 0; i < GATEWAYS; i++) {
                boolean restart = gateways[i] == null || random.nextInt(150) == 0;
                if (restart) {
                    String vm = "vm-" + i;
                    gateways[i] =
                            immediate
                                    ? new ImmediateRateFractions(vm, time.suspendAwareClock())
                                    : new RateFractions(vm, time.suspendAwareClock());
                }
                if (random.nextInt(20) == 0) {
                    gateways[i].onRead(epoch, time.suspendAwareClock().now());
                }
            }
            // A gateway writes the next epoch only after it has seen the current one for this time.
            if (step * STEP_MILLIS - writtenMillis >= RateFractions.MIN_EPOCH_INTERVAL_MILLIS) {
                epoch = epoch.next(randomTable(random));
                writtenMillis = step * STEP_MILLIS;
            }
            double sum = 0;
            for (RateFractions fractions : gateways) {
                sum += fractions.fraction("w");
            }
            largest = Math.max(largest, sum);
            time.advanceMillis(STEP_MILLIS);
        }
        return largest;
    }

    private static ShareTable randomTable(SplittableRandom random) {
        return table(
                IntStream.range(0, GATEWAYS)
                        .filter(i -> i == 0 || random.nextInt(4) > 0)
                        .toArray());
    }

    @Test
    void fractionsInUseNeverAddUpToMoreThanOne() {
        for (long seed = 1; seed <= 60; seed++) {
            assertThat(largestSum(seed, false))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(1 + ROUNDING);
        }
    }

    @Test
    void useOfNewFractionsAtOnceIsDetected() {
        double largest = 0;
        for (long seed = 1; seed <= 60; seed++) {
            largest = Math.max(largest, largestSum(seed, true));
        }
        assertThat(largest).isGreaterThan(1 + ROUNDING);
    }
}
