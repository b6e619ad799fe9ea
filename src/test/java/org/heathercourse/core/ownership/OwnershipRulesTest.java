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

/** Shard assignment, flush pacing and the list of daemons. */
class OwnershipRulesTest {
    private static final VmId VM = new VmId("a");

    private static List<VmId> vms(int count, int salt) {
        List<VmId> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add(new VmId("vm-" + salt + "-" + i));
        }
        return vms;
    }

    /** Guards against shards without an owner and daemons with too many of them. */
    @Property(seed = "4711", tries = 200)
    void everyShardHasAnOwnerWithinTheBound(
            @ForAll @IntRange(min = 1, max = 128) int shards,
            @ForAll @IntRange(min = 1, max = 120) int daemons,
            @ForAll int salt) {
        Map<ShardId, VmId> plan = ShardAssignment.assign(shards, vms(daemons, salt), 64);
        assertThat(plan).hasSize(shards);
        Map<VmId, Integer> held = new HashMap<>();
        plan.values().forEach(vm -> held.merge(vm, 1, Integer::sum));
        int owners = Math.min(daemons, 64);
        assertThat(held).hasSizeLessThanOrEqualTo(owners);
        assertThat(held.values()).allMatch(count -> count <= (shards + owners - 1) / owners + 1);
    }

    /** Guards against a join or a death that moves shards between daemons it does not concern. */
    @Property(seed = "4712", tries = 200)
    void oneDaemonMoreOrLessMovesFewShards(
            @ForAll @IntRange(min = 2, max = 63) int daemons, @ForAll int salt) {
        List<VmId> vms = vms(daemons, salt);
        List<VmId> fewer = vms.subList(1, daemons);
        Map<ShardId, VmId> before = ShardAssignment.assign(64, vms, 64);
        Map<ShardId, VmId> after = ShardAssignment.assign(64, fewer, 64);
        long moved =
                before.entrySet().stream()
                        .filter(e -> !e.getValue().equals(after.get(e.getKey())))
                        .count();
        // The shards of the daemon itself, and those that the changed bound pushes on.
        assertThat(moved)
                .isLessThanOrEqualTo(3L * ShardAssignment.maxShardsPerOwner(64, daemons - 1));
    }

    /** Guards against more commit transactions per second than the store takes. */
    @Property(seed = "4713", tries = 200)
    void allOwnersTogetherStayWithinTheTransactionRate(
            @ForAll @IntRange(min = 1, max = 1_000) int owners,
            @ForAll @IntRange(min = 0, max = 9) int objects) {
        long interval = FlushPacing.intervalNanos(owners, objects);
        assertThat(interval).isGreaterThanOrEqualTo(FlushPacing.MIN_INTERVAL_NANOS);
        assertThat(owners * 1e9 / interval).isLessThanOrEqualTo(250.001);
        assertThat(owners * 1e9 / interval * objects).isLessThanOrEqualTo(250.001);
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

    /** Guards against daemons declared dead early, late or while nobody could write. */
    @Test
    void daemonIsDeadAfterThreeUnchangedPeriodsOfReadableStore() {
        DaemonList list = new DaemonList();
        for (int s = 0; s <= 5; s++) {
            list.observe(List.of(row(VM, 1, 7)), nanos(s));
            assertThat(list.alive(nanos(s))).hasSize(1);
        }
        assertThat(list.heartbeatStopped(VM, nanos(5.9))).isFalse();
        assertThat(list.heartbeatStopped(VM, nanos(6))).isTrue();
        // The store could not be read for an hour: nobody is dead until daemons could write again.
        list.observe(List.of(row(VM, 1, 7)), nanos(3_600));
        assertThat(list.heartbeatStopped(VM, nanos(3_602.9))).isFalse();
        assertThat(list.heartbeatStopped(VM, nanos(3_603.1))).isTrue();
    }

    /** Guards against time without the store that counts, though nobody could write in it. */
    @Test
    void livingDaemonSurvivesOutageOfAnyLength() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 1, 7)), 0);
        list.observe(List.of(row(VM, 1, 7)), nanos(1));
        list.observe(List.of(row(VM, 1, 7)), nanos(600));
        assertThat(list.heartbeatStopped(VM, nanos(604.9))).isFalse();
        list.observe(List.of(row(VM, 1, 8)), nanos(604.9));
        assertThat(list.heartbeatStopped(VM, nanos(610.8))).isFalse();
    }

    /** Guards against takeovers that short outages of the store put off again and again. */
    @Test
    void repeatedShortOutagesDoNotPutOffTakeover() {
        DaemonList list = new DaemonList();
        double now = 0;
        for (int outage = 0; outage < 2; outage++) {
            for (int scan = 0; scan < 4; scan++) {
                list.observe(List.of(row(VM, 1, 7)), nanos(now++));
            }
            now += 4;
        }
        assertThat(list.heartbeatStopped(VM, nanos(now - 4))).isTrue();
    }

    /** Guards against a replaced process whose shards an outage keeps from being taken. */
    @Test
    void outageDoesNotProlongLeaseOfReplacedProcess() {
        DaemonList list = new DaemonList();
        list.observe(List.of(row(VM, 1, 9)), 0);
        list.observe(List.of(row(VM, 2, 1)), nanos(1));
        list.restartObservation(nanos(4));
        list.observe(List.of(row(VM, 2, 1)), nanos(5.1));
        assertThat(list.replaced(VM, 1, nanos(5.1))).isTrue();
    }

    /** Guards against processes of the past that a list with a lag brings back. */
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

    /** Guards against control traffic that grows with the square of the fleet. */
    @Test
    void daemonsThatOwnNothingBeatMoreRarelyInLargeFleets() {
        assertThat(LeaseRules.heartbeatPeriodMillis(400, false)).isEqualTo(8_000);
        assertThat(LeaseRules.heartbeatPeriodMillis(400, true)).isEqualTo(2_000);
        assertThat(LeaseRules.heartbeatPeriodMillis(12, false)).isEqualTo(2_000);
        assertThat(LeaseRules.daemonScanMillis(400)).isEqualTo(2_000);
        assertThat(LeaseRules.deadAfterMillis(8_000)).isEqualTo(24_000);
    }
}
