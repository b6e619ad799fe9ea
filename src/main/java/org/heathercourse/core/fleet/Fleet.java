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
 * The living gateways at one moment. Immutable and safe for use by several threads.
 *
 * @param members living gateways, in the order of their VMs
 */
public record Fleet(List<Member> members) {
    /** A fleet of which nothing is known yet. */
    public static final Fleet UNKNOWN = new Fleet(List.of());

    /** Fewest gateways of a caller's own zone that are advised without those of other zones. */
    private static final int ENOUGH_IN_ZONE = 2;

    /** Sorts and copies the members. */
    public Fleet {
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::vm));
        members = List.copyOf(sorted);
    }

    /** Returns the member on a VM. */
    public Optional<Member> member(VmId vm) {
        return members.stream().filter(m -> m.vm().equals(vm)).findFirst();
    }

    /** Returns how many gateways of a zone callers are sent to. */
    public int readyCount(Zone zone) {
        return (int) members.stream().filter(m -> ready(m) && m.zone().equals(zone)).count();
    }

    /**
     * Returns the addresses that a caller should use: those of its own zone, because bytes between
     * zones are slow and priced, and those of other zones too if its own has too few.
     *
     * @param zone zone of the caller
     * @param most most addresses to return
     * @param random decides which are left out if there are too many
     */
    public List<String> recommendedAddresses(Zone zone, int most, RandomGenerator random) {
        List<Member> chosen = new ArrayList<>();
        members.stream().filter(m -> ready(m) && m.zone().equals(zone)).forEach(chosen::add);
        if (chosen.size() < ENOUGH_IN_ZONE) {
            members.stream().filter(m -> ready(m) && !m.zone().equals(zone)).forEach(chosen::add);
        }
        Collections.shuffle(chosen, new Random(random.nextLong()));
        return chosen.stream().limit(most).map(Member::callerAddress).toList();
    }

    /**
     * Returns the gateway that owns a key: one of the given zone if any is ready there, so that
     * asking it is quick.
     *
     * @param key the key
     * @param zone zone of the asking gateway
     */
    public Optional<Member> ownerOf(String key, Zone zone) {
        Optional<Member> near =
                highest(key, members.stream().filter(m -> ready(m) && m.zone().equals(zone)));
        return near.isPresent() ? near : highest(key, members.stream().filter(Fleet::ready));
    }

    private static Optional<Member> highest(String key, Stream<Member> members) {
        return members.max(Comparator.comparingLong(m -> Rendezvous.weight(key, m.vm().value())));
    }

    private static boolean ready(Member member) {
        return member.state().acceptsNewCallers();
    }
}
