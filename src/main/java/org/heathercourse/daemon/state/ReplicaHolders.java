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

/** Chooses by rendezvous hashing which daemons hold copies of a shard. Pure functions. */
final class ReplicaHolders {
    /** Copies that an owner keeps, its own records not counted. */
    static final int COPIES = 2;

    /** Fleet size up to which a new owner asks every daemon. */
    private static final int ASK_ALL = 32;

    private static final int ASK_FIRST = 8;

    private ReplicaHolders() {}

    /** Returns how many holders have to acknowledge in a fleet of this size, owner included. */
    static int required(int daemons) {
        return daemons >= 4 ? COPIES : 1;
    }

    /** Returns the daemons that an owner may send copies to, best first, other zones first. */
    static List<DaemonInfo> ranked(ShardId shard, DaemonInfo owner, Collection<DaemonInfo> live) {
        List<DaemonInfo> ranked = new ArrayList<>(live);
        ranked.removeIf(daemon -> daemon.vm().equals(owner.vm()) || daemon.draining());
        ranked.sort(order(shard, owner.zone()));
        return ranked;
    }

    /**
     * Returns the daemons that a new owner asks for copies. The zone of the former owner decided on
     * the order and is not known any more, so in a large fleet the first ones of the order of each
     * zone are asked.
     */
    static List<DaemonInfo> asked(ShardId shard, Collection<DaemonInfo> live) {
        if (live.size() <= ASK_ALL) {
            return List.copyOf(live);
        }
        Set<Zone> zones = new LinkedHashSet<>();
        live.forEach(daemon -> zones.add(daemon.zone()));
        Set<DaemonInfo> asked = new LinkedHashSet<>();
        for (Zone zone : zones) {
            live.stream().sorted(order(shard, zone)).limit(ASK_FIRST).forEach(asked::add);
        }
        return List.copyOf(asked);
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
