package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;

/** Selects the daemons that hold replicas of a shard by rendezvous hashing. Stateless. */
final class ReplicaHolders {
    /** Number of replicas of a shard in other daemons. */
    static final int REPLICA_COUNT = 2;

    /** Fleet size up to which a new owner queries every daemon. */
    private static final int QUERY_ALL_MAX_DAEMONS = 32;

    private static final int QUERIED_DAEMONS_PER_ZONE = 8;

    private ReplicaHolders() {}

    /**
     * Returns how many holders have to acknowledge a record.
     *
     * @param daemons number of live daemons, including the owner
     */
    static int requiredAcknowledgements(int daemons) {
        return daemons >= 4 ? REPLICA_COUNT : 1;
    }

    /** Returns the daemons that may hold replicas, most preferred first; other zones precede. */
    static List<DaemonInfo> candidates(
            ShardId shard, DaemonInfo owner, Collection<DaemonInfo> live) {
        List<DaemonInfo> candidates = new ArrayList<>(live);
        candidates.removeIf(daemon -> daemon.vm().equals(owner.vm()) || daemon.draining());
        candidates.sort(order(shard, owner.zone()));
        return candidates;
    }

    /**
     * Returns the daemons that a new owner queries for replicas. The order of the holders depends
     * on the zone of the previous owner, which is no longer known. In a large fleet, the first
     * daemons in the order of each possible zone are therefore queried.
     */
    static List<DaemonInfo> queryTargets(ShardId shard, Collection<DaemonInfo> live) {
        if (live.size() <= QUERY_ALL_MAX_DAEMONS) {
            return List.copyOf(live);
        }
        Set<Zone> zones = new LinkedHashSet<>();
        live.forEach(daemon -> zones.add(daemon.zone()));
        Set<DaemonInfo> targets = new LinkedHashSet<>();
        for (Zone zone : zones) {
            live.stream()
                    .sorted(order(shard, zone))
                    .limit(QUERIED_DAEMONS_PER_ZONE)
                    .forEach(targets::add);
        }
        return List.copyOf(targets);
    }

    private static Comparator<DaemonInfo> order(ShardId shard, Zone ownerZone) {
        return Comparator.comparing((DaemonInfo daemon) -> daemon.zone().equals(ownerZone))
                .thenComparing(
                        Comparator.comparingLong((DaemonInfo daemon) -> score(shard, daemon.vm()))
                                .reversed())
                .thenComparing(DaemonInfo::vm);
    }

    private static long score(ShardId shard, VmId vm) {
        return ShardId.hash("replica/" + shard + "@" + vm.value());
    }
}
