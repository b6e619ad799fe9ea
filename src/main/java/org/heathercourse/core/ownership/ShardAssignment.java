package org.heathercourse.core.ownership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;

/**
 * Assigns shards to daemons by rendezvous hashing with a bound on the shards of one daemon.
 *
 * <p>The result depends only on the set of daemons, so that all daemons that see the same set agree
 * without a message, and a daemon that comes or goes moves few shards. Pure function.
 */
public final class ShardAssignment {
    /** Most daemons that own shards; more owners would mean longer flush intervals. */
    public static final int MAX_OWNERS = 64;

    private ShardAssignment() {}

    /**
     * Returns the most shards that one daemon is assigned.
     *
     * @param shards number of shards
     * @param owners number of daemons that may own shards, at least 1
     * @return {@code ceil(shards / owners) + 1}
     */
    public static int maxShardsPerOwner(int shards, int owners) {
        return (shards + owners - 1) / owners + 1;
    }

    /**
     * Returns the daemons that may own shards: those with the greatest hashes.
     *
     * @param daemons live daemons that are not draining
     * @param maxOwners most daemons to return
     * @return the daemons in the order of their identities
     */
    public static List<VmId> owners(Collection<VmId> daemons, int maxOwners) {
        List<VmId> ranked = new ArrayList<>(new TreeSet<>(daemons));
        if (ranked.size() > maxOwners) {
            ranked.sort(
                    Comparator.comparingLong((VmId vm) -> ShardId.hash("owner/" + vm.value()))
                            .reversed());
            ranked = new ArrayList<>(new TreeSet<>(ranked.subList(0, maxOwners)));
        }
        return ranked;
    }

    /**
     * Assigns every shard.
     *
     * @param shards number of shards
     * @param daemons live daemons that are not draining
     * @param maxOwners most daemons that may own shards
     * @return the daemon of each shard; empty if there is no daemon
     */
    public static Map<ShardId, VmId> assign(int shards, Collection<VmId> daemons, int maxOwners) {
        List<VmId> owners = owners(daemons, maxOwners);
        Map<ShardId, VmId> result = new HashMap<>();
        if (owners.isEmpty()) {
            return result;
        }
        int bound = maxShardsPerOwner(shards, owners.size());
        int[] held = new int[owners.size()];
        for (Pair pair : rankedPairs(shards, owners)) {
            ShardId shard = new ShardId(pair.shard());
            if (held[pair.owner()] < bound && !result.containsKey(shard)) {
                result.put(shard, owners.get(pair.owner()));
                held[pair.owner()]++;
            }
        }
        return result;
    }

    private static Pair[] rankedPairs(int shards, List<VmId> owners) {
        Pair[] pairs = new Pair[shards * owners.size()];
        for (int o = 0; o < owners.size(); o++) {
            for (int s = 0; s < shards; s++) {
                long score = ShardId.hash(s + "@" + owners.get(o).value());
                pairs[o * shards + s] = new Pair(score, s, o);
            }
        }
        Arrays.sort(
                pairs,
                Comparator.comparingLong(Pair::score)
                        .reversed()
                        .thenComparingInt(Pair::shard)
                        .thenComparingInt(Pair::owner));
        return pairs;
    }

    private record Pair(long score, int shard, int owner) {}
}
