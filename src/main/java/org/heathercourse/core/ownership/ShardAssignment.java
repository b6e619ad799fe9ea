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
 * Assigns shards to daemons by rendezvous hashing with a maximum number of shards per daemon.
 *
 * <p>The result depends only on the set of daemons, so all daemons that see the same set agree
 * without exchanging messages, and a daemon that joins or leaves moves few shards. Stateless and
 * safe for use by several threads.
 */
public final class ShardAssignment {
    /** Maximum number of daemons that own shards; more owners would lengthen flush intervals. */
    public static final int MAX_OWNERS = 64;

    private ShardAssignment() {}

    /**
     * Returns the maximum number of shards assigned to one daemon.
     *
     * @param shards number of shards
     * @param owners number of daemons that may own shards, at least 1
     * @return {@code ceil(shards / owners) + 1}
     */
    public static int maxShardsPerOwner(int shards, int owners) {
        return (shards + owners - 1) / owners + 1;
    }

    /**
     * Returns the daemons that may own shards: those with the highest hashes.
     *
     * @param daemons live daemons that are not draining
     * @param maxOwners maximum number of daemons to return
     * @return the daemons in the order of their VM names
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
     * @param maxOwners maximum number of daemons that own shards
     * @return the owner of each shard; empty if there is no daemon
     */
    public static Map<ShardId, VmId> assign(int shards, Collection<VmId> daemons, int maxOwners) {
        List<VmId> owners = owners(daemons, maxOwners);
        Map<ShardId, VmId> result = new HashMap<>();
        if (owners.isEmpty()) {
            return result;
        }
        int maxShards = maxShardsPerOwner(shards, owners.size());
        int[] shardCounts = new int[owners.size()];
        for (ScoredPair pair : rankedPairs(shards, owners)) {
            ShardId shard = new ShardId(pair.shard());
            if (shardCounts[pair.owner()] < maxShards && !result.containsKey(shard)) {
                result.put(shard, owners.get(pair.owner()));
                shardCounts[pair.owner()]++;
            }
        }
        return result;
    }

    private static ScoredPair[] rankedPairs(int shards, List<VmId> owners) {
        ScoredPair[] pairs = new ScoredPair[shards * owners.size()];
        for (int o = 0; o < owners.size(); o++) {
            for (int s = 0; s < shards; s++) {
                long score = ShardId.hash(s + "@" + owners.get(o).value());
                pairs[o * shards + s] = new ScoredPair(score, s, o);
            }
        }
        Arrays.sort(
                pairs,
                Comparator.comparingLong(ScoredPair::score)
                        .reversed()
                        .thenComparingInt(ScoredPair::shard)
                        .thenComparingInt(ScoredPair::owner));
        return pairs;
    }

    /** A possible assignment of a shard to an owner, given by its index, with its hash score. */
    private record ScoredPair(long score, int shard, int owner) {}
}
