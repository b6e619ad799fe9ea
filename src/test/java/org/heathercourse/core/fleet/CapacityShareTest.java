package org.heathercourse.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/**
 * Guards against small VMs that get as many callers as large ones, and delay them when demand
 * swings.
 */
class CapacityShareTest {
    private static final Zone ZONE = new Zone("z");
    private static final double LARGE_CORES = 1.5;
    private static final double SMALL_CORES = 0.25;
    private static final int LARGE_VMS = 6;
    private static final int SMALL_VMS = 13;
    private static final int CONNECTIONS = 200_000;

    private static Member member(String vm, double cores) {
        return new Member(
                new VmId(vm), 1, ZONE, vm + ":80", vm, 81, MemberState.READY, 1, 1_500, cores);
    }

    private static List<Member> unequalMembers() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < LARGE_VMS; i++) {
            members.add(member("large" + i, LARGE_CORES));
        }
        for (int i = 0; i < SMALL_VMS; i++) {
            members.add(member("small" + i, SMALL_CORES));
        }
        return members;
    }

    /** Returns the connections of callers that ask any directory and pick any of its addresses. */
    private static Map<String, Integer> connections(List<Member> members) {
        SplittableRandom random = new SplittableRandom(1);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            VmId directory = members.get(random.nextInt(members.size())).vm();
            List<Member> named = CapacityShare.select(members, directory);
            Member picked = named.get(random.nextInt(named.size()));
            counts.merge(
                    picked.processorCores() == LARGE_CORES ? "large" : "small", 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void callersUseVmsInProportionToTheirProcessorTime() {
        Map<String, Integer> counts = connections(unequalMembers());
        double perLargeVm = (double) counts.get("large") / LARGE_VMS;
        double perSmallVm = (double) counts.get("small") / SMALL_VMS;
        double ratio = LARGE_CORES / SMALL_CORES;
        assertThat(perLargeVm / perSmallVm).isBetween(ratio / 2, ratio * 2);
    }

    /** A choice that changed with each answer would make callers close their connections. */
    @Test
    void oneDirectoryAlwaysNamesTheSameGateways() {
        VmId directory = new VmId("small3");
        List<Member> first = CapacityShare.select(unequalMembers(), directory);
        assertThat(CapacityShare.select(unequalMembers(), directory)).isEqualTo(first);
    }

    @Test
    void everyGatewayIsNamedIfTheProcessorTimeOfOneIsUnknown() {
        List<Member> members = unequalMembers();
        members.add(member("unknown", 0));
        assertThat(CapacityShare.select(members, new VmId("large0"))).isEqualTo(members);
    }

    @Test
    void everyGatewayIsNamedIfAllHaveTheSameProcessorTime() {
        List<Member> members = List.of(member("a", 1), member("b", 1), member("c", 1));
        assertThat(CapacityShare.select(members, new VmId("a"))).isEqualTo(members);
    }

    /** A turn waits for the owner of its budget, so that a small VM should not be one. */
    @Test
    void ownersAreVmsWithMuchProcessorTime() {
        List<Member> owners = OwnerSelection.budgetOwners(OwnerSelection.rank(unequalMembers()));
        assertThat(owners).hasSize(OwnerSelection.MIN_BUDGET_OWNERS_PER_ZONE);
        assertThat(owners).allMatch(owner -> owner.processorCores() == LARGE_CORES);
    }
}
