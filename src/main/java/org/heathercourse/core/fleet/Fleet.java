package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * The live gateways of a deployment at one time. Immutable and safe for use by several threads.
 *
 * @param members live gateways, in the order of their VMs
 */
public record Fleet(List<Member> members) {
    /** The fleet before any gateway is known; has no members. */
    public static final Fleet UNKNOWN = new Fleet(List.of());

    /**
     * Number of gateways in a caller's zone from which gateways of other zones are not recommended.
     */
    private static final int MIN_GATEWAYS_IN_ZONE = 2;

    /** Creates a fleet with a sorted copy of the members. */
    public Fleet {
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::vm));
        members = List.copyOf(sorted);
    }

    /** Returns the member on a VM. */
    public Optional<Member> member(VmId vm) {
        return members.stream().filter(m -> m.vm().equals(vm)).findFirst();
    }

    /** Returns the number of gateways in a zone that accept new callers. */
    public int readyCount(Zone zone) {
        return (int)
                members.stream().filter(m -> acceptsNewCallers(m) && m.zone().equals(zone)).count();
    }

    /**
     * Returns the addresses that a caller should use. Gateways in the zone of the caller are
     * preferred, because traffic between zones is slow and priced; gateways of other zones are
     * added if that zone has too few.
     *
     * @param zone zone of the caller
     * @param maxCount maximum number of addresses to return
     * @param random selects the addresses to leave out if there are too many
     */
    public List<String> recommendedAddresses(Zone zone, int maxCount, RandomGenerator random) {
        List<Member> chosen = new ArrayList<>();
        members.stream()
                .filter(m -> acceptsNewCallers(m) && m.zone().equals(zone))
                .forEach(chosen::add);
        if (chosen.size() < MIN_GATEWAYS_IN_ZONE) {
            members.stream()
                    .filter(m -> acceptsNewCallers(m) && !m.zone().equals(zone))
                    .forEach(chosen::add);
        }
        Collections.shuffle(chosen, new Random(random.nextLong()));
        return chosen.stream().limit(maxCount).map(Member::callerAddress).toList();
    }

    /**
     * Returns the gateway that owns a key: a gateway in the given zone if one there accepts new
     * callers, so that requests to it are fast.
     *
     * @param key the key
     * @param zone zone of the requesting gateway
     * @return the owner; empty if no gateway accepts new callers
     */
    public Optional<Member> ownerOf(String key, Zone zone) {
        Optional<Member> ownerInZone =
                highestWeight(
                        key,
                        members.stream()
                                .filter(m -> acceptsNewCallers(m) && m.zone().equals(zone)));
        return ownerInZone.isPresent()
                ? ownerInZone
                : highestWeight(key, members.stream().filter(Fleet::acceptsNewCallers));
    }

    private static Optional<Member> highestWeight(String key, Stream<Member> members) {
        return members.max(Comparator.comparingLong(m -> Rendezvous.weight(key, m.vm().value())));
    }

    private static boolean acceptsNewCallers(Member member) {
        return member.state().acceptsNewCallers();
    }
}
