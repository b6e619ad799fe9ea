package org.heathercourse.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Tests of shard assignment, flush pacing and the list of daemons. */
class OwnershipRulesTest {
    private static final VmId VM = new VmId("a");

    private static List<VmId> vms(int count, int salt) {
        List<VmId> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add(new VmId("vm-" + salt + "-" + i));
        }
        return vms;
    }

    /** Guards against shards without an owner and daemons with too many shards. */
    @Property(seed = "4711", tries = 200)
    void everyShardHasAnOwnerWithinTheMaximum(
            @ForAll @IntRange(min = 1, max = 128) int shards,
            @ForAll @IntRange(min = 1, max = 120) int daemons,
            @ForAll int salt) {
        Map<ShardId, VmId> assignment = ShardAssignment.assign(shards, vms(daemons, salt), 64);
        assertThat(assignment).hasSize(shards);
        Map<VmId, Integer> shardCounts = new HashMap<>();
        assignment.values().forEach(vm -> shardCounts.merge(vm, 1, Integer::sum));
        int owners = Math.min(daemons, 64);
        assertThat(shardCounts).hasSizeLessThanOrEqualTo(owners);
        assertThat(shardCounts.values())
                .allMatch(count -> count <= (shards + owners - 1) / owners + 1);
    }

    /** Guards against a join or failure of one daemon that moves many shards of other daemons. */
    @Property(seed = "4712", tries = 200)
    void removingOneDaemonMovesFewShards(
            @ForAll @IntRange(min = 2, max = 63) int daemons, @ForAll int salt) {
        List<VmId> vms = vms(daemons, salt);
        List<VmId> fewer = vms.subList(1, daemons);
        Map<ShardId, VmId> before = ShardAssignment.assign(64, vms, 64);
        Map<ShardId, VmId> after = ShardAssignment.assign(64, fewer, 64);
        long moved =
                before.entrySet().stream()
                        .filter(e -> !e.getValue().equals(after.get(e.getKey())))
                        .count();
        // The shards of the daemon itself, and those that move because the maximum changed.
        assertThat(moved)
                .isLessThanOrEqualTo(3L * ShardAssignment.maxShardsPerOwner(64, daemons - 1));
    }

    /** Guards against more commit transactions per second than the store accepts. */
    @Property(seed = "4713", tries = 200)
    void allOwnersTogetherStayWithinTheTransactionRate(
            @ForAll @IntRange(min = 1, max = 1_000) int owners,
            @ForAll @IntRange(min = 0, max = 9) int objects) {
        long intervalNanos = FlushPacing.intervalNanos(owners, objects);
        assertThat(intervalNanos).isGreaterThanOrEqualTo(FlushPacing.MIN_INTERVAL_NANOS);
        assertThat(owners * 1e9 / intervalNanos).isLessThanOrEqualTo(250.001);
        assertThat(owners * 1e9 / intervalNanos * objects).isLessThanOrEqualTo(250.001);
        assertThat(FlushPacing.intervalNanos(64, 0)).isEqualTo(256_000_000L);
        assertThat(FlushPacing.intervalNanos(12, 1)).isEqualTo(48_000_000L);
    }

    private static DaemonInfo row(VmId vm, long incarnation, long heartbeat) {
        return new DaemonInfo(
                vm, incarnation, new Zone("z"), "127.0.0.1", 1, 2, 3, heartbeat, 2_000, false);
    }

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** Guards against daemons declared dead too early, too late or while no daemon could write. */
    @Test
    void daemonIsDeadAfterThreeUnchangedPeriods() {
        DaemonList list = new DaemonList();
        for (int s = 0; s <= 5; s++) {
            list.observe(List.of(row(VM, 1, 7)), nanos(s));
            assertThat(list.alive(nanos(s))).hasSize(1);
        }
        assertThat(list.heartbeatStopped(VM, nanos(5.9))).isFalse();
        assertThat(list.heartbeatStopped(VM, nanos(6))).isTrue();
        // The store was unreadable for an hour: no daemon is dead until it had time to write again.
        list.observe(List.of(row(VM, 1, 7)), nanos(3_600));
        assertThat(list.heartbeatStopped(VM, nanos(3_602.9))).isFalse();
        assertThat(list.heartbeatStopped(VM, nanos(3_603.1))).isTrue();
    }

    /** Guards against counting the time of an outage, during which no daemon could write. */
    @Test
    void liveDaemonIsNotDeclaredDeadAfterOutage() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 1, 7)), 0);
        list.observe(List.of(row(VM, 1, 7)), nanos(1));
        list.observe(List.of(row(VM, 1, 7)), nanos(600));
        assertThat(list.heartbeatStopped(VM, nanos(604.9))).isFalse();
        list.observe(List.of(row(VM, 1, 8)), nanos(604.9));
        assertThat(list.heartbeatStopped(VM, nanos(610.8))).isFalse();
    }

    /** Guards against takeovers that repeated short outages of the store postpone indefinitely. */
    @Test
    void repeatedShortOutagesDoNotPostponeTakeover() {
        DaemonList list = new DaemonList();
        double nowSeconds = 0;
        for (int outage = 0; outage < 2; outage++) {
            for (int scan = 0; scan < 4; scan++) {
                list.observe(List.of(row(VM, 1, 7)), nanos(nowSeconds++));
            }
            nowSeconds += 4;
        }
        assertThat(list.heartbeatStopped(VM, nanos(nowSeconds - 4))).isTrue();
    }

    /** Guards against an outage that delays the takeover of a replaced process's shards. */
    @Test
    void outageDoesNotProlongLeaseOfReplacedProcess() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 1, 9)), 0);
        list.observe(List.of(row(VM, 2, 1)), nanos(1));
        list.restartObservation(nanos(4));
        list.observe(List.of(row(VM, 2, 1)), nanos(5.1));
        assertThat(list.replaced(VM, 1, nanos(5.1))).isTrue();
    }

    /** Guards against listing earlier processes again because of outdated rows. */
    @Test
    void olderIncarnationsAndRetiredVmsAreNotListed() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 3, 1)), 0);
        list.observe(List.of(row(VM, 2, 50)), nanos(1));
        assertThat(list.alive(nanos(1))).extracting(DaemonInfo::incarnation).containsExactly(3L);
        list.observe(List.of(), nanos(2));
        list.observe(List.of(row(VM, 2, 51)), nanos(3));
        assertThat(list.alive(nanos(3))).isEmpty();
        list.retire(VM, 3);
        list.observe(List.of(row(VM, 3, 2)), nanos(4));
        assertThat(list.alive(nanos(4))).isEmpty();
        list.observe(List.of(row(VM, 4, 1)), nanos(5));
        assertThat(list.alive(nanos(5))).hasSize(1);
    }

    /** Guards against a takeover from a replaced process whose lease may still be valid. */
    @Test
    void replacedProcessKeepsItsShardsForOneLease() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 1, 9)), 0);
        list.observe(List.of(row(VM, 2, 1)), nanos(1));
        assertThat(list.replaced(VM, 1, nanos(4.9))).isFalse();
        assertThat(list.replaced(VM, 1, nanos(5))).isTrue();
        assertThat(list.replaced(VM, 2, nanos(5))).isFalse();
        list.observe(List.of(row(VM, 2, 1).asDead()), nanos(2));
        assertThat(list.alive(nanos(2))).isEmpty();
        assertThat(list.heartbeatStopped(VM, nanos(9))).isFalse();
    }

    /** Guards against control traffic that grows with the square of the number of daemons. */
    @Test
    void daemonsWithoutShardsHaveLongerHeartbeatPeriodsInLargeDeployments() {
        assertThat(LeaseRules.heartbeatPeriodMillis(400, false)).isEqualTo(8_000);
        assertThat(LeaseRules.heartbeatPeriodMillis(400, true)).isEqualTo(2_000);
        assertThat(LeaseRules.heartbeatPeriodMillis(12, false)).isEqualTo(2_000);
        assertThat(LeaseRules.daemonScanMillis(400)).isEqualTo(2_000);
        assertThat(LeaseRules.deadAfterMillis(8_000)).isEqualTo(24_000);
    }
}
