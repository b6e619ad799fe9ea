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
class ShareHolderTest {
    private static final int GATEWAYS = 6;
    private static final int STEPS = 600;
    private static final long STEP_MILLIS = 50;
    private static final double ROUNDING = 1e-6;

    private static ShareTable table(int... numbers) {
        return new ShareTable(Arrays.stream(numbers).mapToObj(i -> "vm-" + i).toList());
    }

    private static List<ShareHolder> holders(TestTime time, ShareEpoch epoch, int count) {
        List<ShareHolder> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ShareHolder holder = new ShareHolder("vm-" + i, time.suspendAwareClock());
            holder.onRead(epoch, time.suspendAwareClock().now());
            holders.add(holder);
        }
        return holders;
    }

    @Test
    void rateBelongsToTwoGatewaysInEqualParts() {
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

    /** One gateway must not own most rates of a large deployment. */
    @Test
    void ratesOfManyWorkspacesSpreadOverTheGateways() {
        ShareTable table = table(0, 1, 2, 3, 4, 5);
        int[] owned = new int[GATEWAYS];
        for (int w = 0; w < 360; w++) {
            for (int i = 0; i < GATEWAYS; i++) {
                owned[i] += table.owners("w" + w).contains("vm-" + i) ? 1 : 0;
            }
        }
        assertThat(Arrays.stream(owned).min().getAsInt()).isGreaterThan(80);
    }

    /** A change of members must not take the whole rate of a workspace out of use. */
    @Test
    void gatewayThatJoinsOrDiesLeavesEachRateOneOwnerAtLeast() {
        ShareEpoch joined = ShareEpoch.first(table(0, 1, 2, 3, 4)).next(table(0, 1, 2, 3, 4, 5));
        ShareEpoch died = ShareEpoch.first(table(0, 1, 2, 3, 4, 5)).next(table(0, 1, 2, 3, 4));
        for (ShareEpoch epoch : List.of(joined, died)) {
            List<ShareHolder> holders = holders(new TestTime(), epoch, GATEWAYS);
            for (int w = 0; w < 50; w++) {
                String workspace = "w" + w;
                double sum = holders.stream().mapToDouble(h -> h.fraction(workspace)).sum();
                assertThat(sum).as(workspace).isGreaterThanOrEqualTo(0.5);
            }
        }
    }

    @Test
    void newMemberWaitsUntilTheOthersHaveMadeRoom() {
        TestTime time = new TestTime();
        ShareHolder holder = new ShareHolder("vm-1", time.suspendAwareClock());
        ShareEpoch second = ShareEpoch.first(table(0)).next(table(0, 1));
        holder.onRead(second, time.suspendAwareClock().now());
        assertThat(holder.fraction("w")).isZero();
        time.advanceMillis(ShareHolder.SETTLE_MILLIS);
        holder.onRead(second, time.suspendAwareClock().now());
        assertThat(holder.fraction("w")).isEqualTo(0.5);
    }

    @Test
    void restartedMemberHasTheSmallerOfBothFractionsAtOnce() {
        TestTime time = new TestTime();
        ShareHolder holder = new ShareHolder("vm-0", time.suspendAwareClock());
        holder.onRead(ShareEpoch.first(table(0)).next(table(0, 1)), time.suspendAwareClock().now());
        assertThat(holder.fraction("w")).isEqualTo(0.5);
        holder = new ShareHolder("vm-0", time.suspendAwareClock());
        holder.onRead(ShareEpoch.first(table(0, 1)).next(table(0)), time.suspendAwareClock().now());
        assertThat(holder.fraction("w")).isEqualTo(0.5);
    }

    @Test
    void suspendedGatewayHandsOutNothing() {
        TestTime time = new TestTime();
        ShareHolder holder = new ShareHolder("vm-0", time.suspendAwareClock());
        holder.onRead(ShareEpoch.first(table(0)), time.suspendAwareClock().now());
        assertThat(holder.fraction("w")).isEqualTo(1);
        time.suspend(ShareHolder.CONFIRM_MILLIS);
        assertThat(holder.fraction("w")).isZero();
    }

    /** A holder that uses a new epoch at once; the check has to notice. */
    private static final class HastyHolder extends ShareHolder {
        HastyHolder(String self, SuspendAwareClock ticker) {
            super(self, ticker);
        }

        @Override
        boolean settled(long seenMillis) {
            return true;
        }
    }

    /**
     * Replays random epochs, reads that are late or fail, and restarts.
     *
     * @return the largest sum of fractions seen
     */
    private static double largestSum(long seed, boolean hasty) {
        SplittableRandom random = new SplittableRandom(seed);
        TestTime time = new TestTime();
        ShareHolder[] holders = new ShareHolder[GATEWAYS];
        ShareEpoch epoch = ShareEpoch.first(randomTable(random));
        long writtenMillis = 0;
        double largest = 0;
        for (int step = 0; step < STEPS; step++) {
            for (int i = 0; i < GATEWAYS; i++) {
                boolean restart = holders[i] == null || random.nextInt(150) == 0;
                if (restart) {
                    String vm = "vm-" + i;
                    holders[i] =
                            hasty
                                    ? new HastyHolder(vm, time.suspendAwareClock())
                                    : new ShareHolder(vm, time.suspendAwareClock());
                }
                if (random.nextInt(20) == 0) {
                    holders[i].onRead(epoch, time.suspendAwareClock().now());
                }
            }
            // Whoever writes the next epoch has seen the present one for that long.
            if (step * STEP_MILLIS - writtenMillis >= ShareHolder.EPOCH_MILLIS) {
                epoch = epoch.next(randomTable(random));
                writtenMillis = step * STEP_MILLIS;
            }
            double sum = 0;
            for (ShareHolder holder : holders) {
                sum += holder.fraction("w");
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
    void checkNoticesHoldersThatUseNewSharesAtOnce() {
        double largest = 0;
        for (long seed = 1; seed <= 60; seed++) {
            largest = Math.max(largest, largestSum(seed, true));
        }
        assertThat(largest).isGreaterThan(1 + ROUNDING);
    }
}
