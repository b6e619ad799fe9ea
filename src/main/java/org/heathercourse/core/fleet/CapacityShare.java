package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.List;
import org.heathercourse.core.model.VmId;

/**
 * Selects the gateways that one directory names, so that VMs with more processor time get more
 * callers.
 *
 * <p>Load pattern: callers pick one of the named addresses at random for each connection, so that a
 * VM with a quarter of a core gets as many requests as one with six times that, and delays them
 * when demand swings. Each directory names a VM with a probability in proportion to its processor
 * time. Its choice depends only on both VMs: callers close connections to addresses that a new
 * answer does not name, so a choice that changed with each answer would cost connections. Stateless
 * and safe for use by several threads.
 */
final class CapacityShare {
    private CapacityShare() {}

    /**
     * Returns the gateways that a directory names.
     *
     * @param members gateways that accept callers
     * @param directory the gateway that answers the caller
     * @return all of them if the processor time of one is unknown; never fewer than those with the
     *     most processor time
     */
    static List<Member> select(List<Member> members, VmId directory) {
        double maxCores = members.stream().mapToDouble(Member::processorCores).max().orElse(0);
        boolean isKnown = members.stream().allMatch(member -> member.processorCores() > 0);
        List<Member> selected = new ArrayList<>(members);
        if (isKnown) {
            selected.removeIf(member -> point(directory, member) >= share(member, maxCores));
        }
        return selected;
    }

    private static double share(Member member, double maxCores) {
        return member.processorCores() / maxCores;
    }

    /** Returns a number from 0 to 1 that is the same for each answer of a directory. */
    private static double point(VmId directory, Member member) {
        return Rendezvous.unitHash(directory + ">" + member.vm());
    }
}
