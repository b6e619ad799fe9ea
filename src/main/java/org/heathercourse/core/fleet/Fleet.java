package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/** The live gateways of a deployment at one time. Immutable and safe for use by several threads. */
public final class Fleet {
    /** The fleet before any gateway is known; has no members. */
    public static final Fleet UNKNOWN = new Fleet(List.of());

    /**
     * Number of gateways in a caller's zone from which gateways of other zones are not recommended.
     */
    private static final int MIN_GATEWAYS_IN_ZONE = 2;

    private final List<Member> mMembers;
    private final Map<VmId, Member> mByVm = new HashMap<>();

    /** Owners of budgets by zone, determined at the first use of a zone. */
    private final Map<Zone, List<Member>> mBudgetOwners = new ConcurrentHashMap<>();

    /**
     * Creates a fleet.
     *
     * @param members live gateways, in any order
     */
    public Fleet(List<Member> members) {
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::vm));
        mMembers = List.copyOf(sorted);
        mMembers.forEach(member -> mByVm.put(member.vm(), member));
    }

    /** Returns the live gateways, in the order of their VMs. */
    public List<Member> members() {
        return mMembers;
    }

    /** Returns the member on a VM. */
    public Optional<Member> member(VmId vm) {
        return Optional.ofNullable(mByVm.get(vm));
    }

    /** Returns the number of gateways in a zone that accept new callers. */
    public int readyCount(Zone zone) {
        return readyMembers(zone).size();
    }

    /**
     * Returns the addresses that a caller should use. Gateways in the zone of the caller are
     * preferred, because traffic between zones is slow and priced; gateways of other zones are
     * added if that zone has too few.
     *
     * @param zone zone of the caller
     * @param maxCount maximum number of addresses to return
     * @param random selects the addresses to leave out if there are too many
     * @param directory gateway that answers the caller; see {@link CapacityShare}
     * @param isConfirmed returns whether a gateway was running a short time ago for certain; others
     *     are not recommended beside such gateways
     */
    public List<String> recommendedAddresses(
            Zone zone,
            int maxCount,
            RandomGenerator random,
            VmId directory,
            Predicate<Member> isConfirmed) {
        List<Member> ready = readyMembers();
        if (ready.stream().anyMatch(isConfirmed)) {
            ready.removeIf(isConfirmed.negate());
        }
        List<Member> inZone = new ArrayList<>(ready);
        inZone.removeIf(member -> !member.zone().equals(zone));
        List<Member> chosen = CapacityShare.select(inZone, directory);
        if (chosen.size() < MIN_GATEWAYS_IN_ZONE) {
            chosen = inZone;
        }
        if (chosen.size() < MIN_GATEWAYS_IN_ZONE) {
            ready.stream().filter(m -> !m.zone().equals(zone)).forEach(chosen::add);
        }
        Collections.shuffle(chosen, new Random(random.nextLong()));
        return chosen.stream().limit(maxCount).map(Member::callerAddress).toList();
    }

    /**
     * Returns the gateway that owns the budget of a program: a gateway in the given zone if one
     * there accepts new callers, so that requests to it are fast.
     *
     * @param program key of the program
     * @param zone zone of the requesting gateway
     * @return the owner; empty if no gateway accepts new callers
     */
    public Optional<Member> budgetOwner(String program, Zone zone) {
        Member owner = null;
        long ownerWeight = 0;
        for (Member member : mBudgetOwners.computeIfAbsent(zone, this::findBudgetOwners)) {
            long weight = Rendezvous.weight(program, member.vm().value());
            if (owner == null || weight > ownerWeight) {
                owner = member;
                ownerWeight = weight;
            }
        }
        return Optional.ofNullable(owner);
    }

    private List<Member> findBudgetOwners(Zone zone) {
        List<Member> ready = readyMembers(zone);
        return OwnerSelection.budgetOwners(
                OwnerSelection.rank(ready.isEmpty() ? readyMembers() : ready));
    }

    /**
     * Returns the gateways among which the workspaces' rates should be divided. Gateways that start
     * are included, so that a restart of all gateways does not change the owners.
     */
    public List<Member> rateOwners() {
        List<Member> candidates = leaderOrder();
        return OwnerSelection.rateOwners(
                OwnerSelection.rank(candidates.isEmpty() ? mMembers : candidates));
    }

    /**
     * Returns the gateways in the order in which they lead: the first one that is live and does not
     * leave is the leader.
     */
    public List<Member> leaderOrder() {
        return mMembers.stream().filter(m -> m.state() != MemberState.LEAVING).toList();
    }

    /** Returns whether members came, went, restarted or changed their state since another view. */
    public boolean differsFrom(Fleet earlier) {
        return mMembers.size() != earlier.mMembers.size()
                || mMembers.stream()
                        .anyMatch(m -> !m.isSameProcessAndState(earlier.mByVm.get(m.vm())));
    }

    private List<Member> readyMembers(Zone zone) {
        List<Member> ready = readyMembers();
        ready.removeIf(member -> !member.zone().equals(zone));
        return ready;
    }

    private List<Member> readyMembers() {
        List<Member> ready = new ArrayList<>();
        for (Member member : mMembers) {
            if (member.state().acceptsNewCallers()) {
                ready.add(member);
            }
        }
        return ready;
    }
}
