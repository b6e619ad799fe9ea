package org.heathercourse.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.fleet.Rendezvous;

/**
 * The gateways among which the workspaces' rates are divided. Immutable.
 *
 * <p>A few gateways own the rate of each workspace in equal parts; the other gateways request
 * tokens from them. If the rate were split over all gateways, most tokens would be unused, because
 * the requests of a program arrive in groups at one gateway.
 *
 * @param members VMs that may own rates
 */
public record ShareTable(Collection<String> members) {
    /**
     * Number of owners of a workspace's rate; with two, half of the rate stays in use if one fails.
     */
    static final int OWNERS_PER_WORKSPACE = 2;

    /** Creates a table with a copy of the members without duplicates. */
    public ShareTable {
        members = members.stream().distinct().toList();
    }

    /** Returns the owners of a workspace's rate; the same on all gateways that read this table. */
    public List<String> owners(String workspace) {
        List<String> owners = new ArrayList<>();
        while (owners.size() < Math.min(OWNERS_PER_WORKSPACE, members.size())) {
            owners.add(highestWeight(workspace, owners));
        }
        return List.copyOf(owners);
    }

    private String highestWeight(String workspace, List<String> excluded) {
        String best = null;
        long bestWeight = 0;
        for (String member : members) {
            long weight = Rendezvous.weight(workspace, member);
            if (!excluded.contains(member) && (best == null || weight > bestWeight)) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns the fraction, from 0 to 1, of a workspace's rate that a member owns. */
    public double fraction(String member, String workspace) {
        List<String> owners = owners(workspace);
        return owners.contains(member) ? 1.0 / owners.size() : 0;
    }

    /** Returns whether another table has different members. */
    public boolean membersDifferFrom(ShareTable other) {
        return !Set.copyOf(members).equals(Set.copyOf(other.members));
    }
}
