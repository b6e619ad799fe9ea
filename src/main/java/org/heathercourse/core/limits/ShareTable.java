package org.heathercourse.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.fleet.Rendezvous;

/**
 * The gateways over which the workspaces' rates are divided. Immutable.
 *
 * <p>The rate of each workspace belongs to a few gateways, its owners, in equal parts. The others
 * ask them. A rate that is split over all gateways would leave most tokens where no request needs
 * them, because the requests of a program come in groups at one gateway.
 *
 * @param members VMs that may own rates
 */
public record ShareTable(Collection<String> members) {
    /** Gateways that own a workspace's rate, so that the loss of one leaves a part in use. */
    static final int OWNERS = 2;

    /** Copies the members. */
    public ShareTable {
        members = List.copyOf(members);
    }

    /** Returns the owners of a workspace's rate, the same ones for all who know this table. */
    public List<String> owners(String workspace) {
        List<String> sorted = new ArrayList<>(members);
        sorted.sort(
                Comparator.comparingLong((String vm) -> Rendezvous.weight(workspace, vm))
                        .reversed());
        return List.copyOf(sorted.subList(0, Math.min(OWNERS, sorted.size())));
    }

    /** Returns the fraction of a workspace's rate that belongs to a member. */
    public double fraction(String member, String workspace) {
        List<String> owners = owners(workspace);
        return owners.contains(member) ? 1.0 / owners.size() : 0;
    }

    /** Returns whether another table has other members. */
    public boolean membersDifferFrom(ShareTable other) {
        return !Set.copyOf(members).equals(Set.copyOf(other.members));
    }
}
