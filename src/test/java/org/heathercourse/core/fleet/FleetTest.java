package org.heathercourse.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/** Guards against callers sent to gateways that are gone, and against wandering ownership. */
class FleetTest {
    private static final Zone NORTH = new Zone("north");
    private static final Zone SOUTH = new Zone("south");

    private final TestTime mTime = new TestTime();
    private final Liveness mLiveness = new Liveness(mTime.suspendAwareClock());

    private static Member member(String vm, Zone zone, MemberState state, long heartbeat) {
        return new Member(new VmId(vm), 1, zone, vm + ":80", vm, 81, state, heartbeat, 1_500);
    }

    private static Member ready(String vm, Zone zone) {
        return member(vm, zone, MemberState.READY, 1);
    }

    private static List<String> advised(Fleet fleet, Zone zone, int most) {
        List<String> advised =
                new ArrayList<>(fleet.recommendedAddresses(zone, most, new SplittableRandom(3)));
        advised.sort(null);
        return advised;
    }

    @Test
    void callersStayInTheirZoneIfItHasTwoGateways() {
        Fleet fleet = new Fleet(List.of(ready("a", NORTH), ready("b", NORTH), ready("c", SOUTH)));
        assertThat(advised(fleet, NORTH, 64)).containsExactly("a:80", "b:80");
        assertThat(advised(fleet, SOUTH, 64)).containsExactly("a:80", "b:80", "c:80");
    }

    @Test
    void leavingAndStartingGatewaysAreNotAdvised() {
        Fleet fleet =
                new Fleet(
                        List.of(
                                member("a", NORTH, MemberState.LEAVING, 1),
                                member("b", NORTH, MemberState.STARTING, 1),
                                ready("c", SOUTH)));
        assertThat(advised(fleet, NORTH, 64)).containsExactly("c:80");
    }

    @Test
    void noMoreAddressesThanAskedFor() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            members.add(ready("vm" + i, NORTH));
        }
        assertThat(advised(new Fleet(members), NORTH, 64)).hasSize(64);
    }

    @Test
    void ownerIsInTheZoneAndMovesOnlyIfItLeaves() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            members.add(ready("n" + i, NORTH));
            members.add(ready("s" + i, SOUTH));
        }
        Fleet all = new Fleet(members);
        Member leaver = members.get(0);
        Fleet rest = new Fleet(members.subList(1, members.size()));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            Member owner = all.ownerOf("p" + i, NORTH).get();
            assertThat(owner.zone()).isEqualTo(NORTH);
            counts.merge(owner.vm().value(), 1, Integer::sum);
            if (!owner.equals(leaver)) {
                assertThat(rest.ownerOf("p" + i, NORTH)).contains(owner);
            }
        }
        assertThat(counts.values()).hasSize(6).allMatch(count -> count > 60);
    }

    @Test
    void gatewayWithoutHeartbeatDiesAfterThreePeriods() {
        mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1)));
        for (int i = 0; i < 3; i++) {
            mTime.advanceMillis(1_500);
            assertThat(
                            mLiveness
                                    .update(List.of(member("a", NORTH, MemberState.READY, 1)))
                                    .members())
                    .hasSize(1);
        }
        mTime.advanceMillis(1_500);
        assertThat(mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1))).members())
                .isEmpty();
        assertThat(mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 2))).members())
                .hasSize(1);
    }

    @Test
    void nobodyDiesBecauseTheObserverCouldNotRead() {
        mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1)));
        mTime.advanceMillis(9_000);
        assertThat(mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1))).members())
                .hasSize(1);
    }
}
