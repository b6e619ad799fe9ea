package org.heathercourse.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.heathercourse.core.limits.ShareTable;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/**
 * Guards against directing callers to gateways that do not serve, and against needless changes of
 * owners.
 */
class FleetTest {
    private static final Zone NORTH = new Zone("north");
    private static final Zone SOUTH = new Zone("south");

    private final TestTime mTime = new TestTime();
    private final Liveness mLiveness = new Liveness(mTime.suspendAwareClock());

    private static Member member(String vm, Zone zone, MemberState state, long heartbeat) {
        return new Member(new VmId(vm), 1, zone, vm + ":80", vm, 81, state, heartbeat, 1_500, 0);
    }

    private static Member ready(String vm, Zone zone) {
        return member(vm, zone, MemberState.READY, 1);
    }

    private static List<String> recommended(Fleet fleet, Zone zone, int maxCount) {
        List<String> recommended =
                new ArrayList<>(
                        fleet.recommendedAddresses(
                                zone,
                                maxCount,
                                new SplittableRandom(3),
                                new VmId("d"),
                                member -> true));
        recommended.sort(null);
        return recommended;
    }

    @Test
    void callersStayInTheirZoneIfItHasTwoGateways() {
        Fleet fleet = new Fleet(List.of(ready("a", NORTH), ready("b", NORTH), ready("c", SOUTH)));
        assertThat(recommended(fleet, NORTH, 64)).containsExactly("a:80", "b:80");
        assertThat(recommended(fleet, SOUTH, 64)).containsExactly("a:80", "b:80", "c:80");
    }

    @Test
    void leavingAndStartingGatewaysAreNotRecommended() {
        Fleet fleet =
                new Fleet(
                        List.of(
                                member("a", NORTH, MemberState.LEAVING, 1),
                                member("b", NORTH, MemberState.STARTING, 1),
                                ready("c", SOUTH)));
        assertThat(recommended(fleet, NORTH, 64)).containsExactly("c:80");
    }

    @Test
    void atMostTheRequestedNumberOfAddressesIsReturned() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            members.add(ready("vm" + i, NORTH));
        }
        assertThat(recommended(new Fleet(members), NORTH, 64)).hasSize(64);
    }

    @Test
    void ownerIsInTheZoneAndChangesOnlyIfItLeaves() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            members.add(ready("n" + i, NORTH));
            members.add(ready("s" + i, SOUTH));
        }
        Fleet all = new Fleet(members);
        Member leaving = members.get(0);
        Fleet remaining = new Fleet(members.subList(1, members.size()));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            Member owner = all.budgetOwner("p" + i, NORTH).get();
            assertThat(owner.zone()).isEqualTo(NORTH);
            counts.merge(owner.vm().value(), 1, Integer::sum);
            if (!owner.equals(leaving)) {
                assertThat(remaining.budgetOwner("p" + i, NORTH)).contains(owner);
            }
        }
        assertThat(counts.values()).hasSize(6).allMatch(count -> count > 60);
    }

    private static List<Member> gateways(int zones, int perZone) {
        List<Member> members = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < perZone; i++) {
                members.add(ready("z" + zone + "-" + i, new Zone("z" + zone)));
            }
        }
        return members;
    }

    /** Guards against fewer owners than gateways in the small fleets that need each of them. */
    @Test
    void allGatewaysOfSmallFleetOwnRates() {
        assertThat(new Fleet(gateways(4, 3)).rateOwners()).hasSize(12);
    }

    /**
     * Guards against links that grow with the square of the fleet. Replays a large fleet in which
     * each gateway serves a hundred requests, each of another workspace and program.
     */
    @Test
    void requestsOfLargeFleetReachFewOwners() {
        Fleet fleet = new Fleet(gateways(5, 19));
        ShareTable shares =
                new ShareTable(fleet.rateOwners().stream().map(m -> m.vm().value()).toList());
        SplittableRandom random = new SplittableRandom(5);
        Set<String> owners = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            owners.addAll(shares.owners("w" + random.nextInt(90)));
            owners.add(fleet.budgetOwner("p" + i, new Zone("z1")).get().vm().value());
        }
        assertThat(owners).hasSizeBetween(12, 18);
    }

    /** Guards against a lost zone that takes most owners, and against owners that change often. */
    @Test
    void ownersAreSpreadOverZonesAndOutlastOtherGateways() {
        List<Member> members = gateways(5, 19);
        List<Member> owners = new Fleet(members).rateOwners();
        Map<Zone, Integer> counts = new HashMap<>();
        owners.forEach(owner -> counts.merge(owner.zone(), 1, Integer::sum));
        assertThat(counts).hasSize(5);
        assertThat(counts.values()).allMatch(count -> count == 2 || count == 3);
        for (Member lost : members) {
            List<Member> remaining = new ArrayList<>(members);
            remaining.remove(lost);
            List<Member> after = new ArrayList<>(new Fleet(remaining).rateOwners());
            after.retainAll(owners);
            assertThat(after).hasSize(owners.contains(lost) ? 11 : 12);
        }
    }

    /** Guards against rates that are moved to the few gateways that are ready after a restart. */
    @Test
    void startingGatewaysOwnRatesAndLeavingOnesDoNot() {
        Fleet fleet =
                new Fleet(
                        List.of(
                                member("a", NORTH, MemberState.LEAVING, 1),
                                member("b", NORTH, MemberState.STARTING, 1),
                                ready("c", SOUTH)));
        assertThat(fleet.rateOwners()).extracting(m -> m.vm().value()).containsOnly("b", "c");
    }

    @Test
    void gatewayIsDeadAfterThreePeriodsWithoutHeartbeat() {
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
    void gatewayIsLiveAfterObserverCouldNotRead() {
        mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1)));
        mTime.advanceMillis(9_000);
        assertThat(mLiveness.update(List.of(member("a", NORTH, MemberState.READY, 1))).members())
                .hasSize(1);
    }
}
