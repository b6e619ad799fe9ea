package org.heathercourse.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads of all members by all members of a large fleet, and against changes that are
 * noticed late because of fewer reads.
 */
class MemberReadPolicyTest {
    private static final long PERIOD_MILLIS = 1_500;
    private static final int HEARTBEATS = 60;

    private static Member member(int number, MemberState state, long heartbeat) {
        String vm = String.format("vm-%03d", number);
        return new Member(
                new VmId(vm),
                1,
                new Zone("z"),
                vm + ":80",
                vm,
                81,
                state,
                heartbeat,
                PERIOD_MILLIS,
                0);
    }

    private static Fleet fleet(int count) {
        return new Fleet(
                IntStream.range(0, count).mapToObj(i -> member(i, MemberState.READY, 1)).toList());
    }

    /** Counts the reads of one gateway over a calm minute and a half. */
    private static int readsOf(int number, int fleetSize) {
        Fleet fleet = fleet(fleetSize);
        MemberReadPolicy policy = new MemberReadPolicy(new VmId(String.format("vm-%03d", number)));
        int reads = 0;
        for (int i = 0; i < HEARTBEATS; i++) {
            if (policy.readsNow(fleet)) {
                reads++;
                policy.onRead(false);
            }
        }
        return reads;
    }

    @Test
    void mostGatewaysOfCalmLargeFleetReadSeldom() {
        assertThat(readsOf(50, 95)).isBetween(HEARTBEATS / 3, HEARTBEATS / 3 + 2);
        assertThat(readsOf(0, 95)).isEqualTo(HEARTBEATS);
        assertThat(readsOf(2, 95)).isEqualTo(HEARTBEATS);
        assertThat(readsOf(9, 16)).isEqualTo(HEARTBEATS);
    }

    @Test
    void readsWithEachHeartbeatWhileMembersChange() {
        Fleet fleet = fleet(95);
        MemberReadPolicy policy = new MemberReadPolicy(new VmId("vm-050"));
        for (int i = 0; i < 20; i++) {
            assertThat(policy.readsNow(fleet)).isTrue();
            policy.onRead(i % 2 == 0);
        }
    }

    /** A gateway behind the candidates must notice that all of them have died. */
    @Test
    void lossOfAllLeaderCandidatesIsNoticed() {
        TestTime time = new TestTime();
        Liveness liveness = new Liveness(time.suspendAwareClock());
        MemberReadPolicy policy = new MemberReadPolicy(new VmId("vm-003"));
        Fleet fleet = Fleet.UNKNOWN;
        int firstLossHeartbeat = 30;
        for (int heartbeat = 1; heartbeat < firstLossHeartbeat + 8; heartbeat++) {
            if (policy.readsNow(fleet)) {
                List<Member> rows = new ArrayList<>();
                for (int i = 0; i < 40; i++) {
                    boolean lost = i < MemberReadPolicy.LEADER_CANDIDATES;
                    int last = lost ? Math.min(heartbeat, firstLossHeartbeat) : heartbeat;
                    rows.add(member(i, MemberState.READY, last));
                }
                Fleet before = fleet;
                fleet = liveness.update(rows, policy.heartbeatsSinceRead());
                policy.onRead(fleet.differsFrom(before));
            }
            time.advanceMillis(PERIOD_MILLIS);
        }
        assertThat(fleet.leaderOrder().get(0).vm()).isEqualTo(new VmId("vm-003"));
    }
}
