package org.heathercourse.daemon.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.state.ShardDirectory;

/**
 * Recommends daemon addresses to callers: daemons that are not draining, those in the caller's zone
 * first, in random order so that callers are distributed over the daemons. Safe for use by several
 * threads.
 */
final class AddressAdvisor {
    private static final int MAX_ALTERNATIVES = 3;

    private final ShardDirectory mShardDirectory;
    private final RandomGenerator mRandom;
    private final int mKeepSeconds;

    /**
     * Creates an advisor.
     *
     * @param shards lists the daemons
     * @param random source of the order of addresses
     * @param keepSeconds time in seconds for which callers may keep an address
     */
    AddressAdvisor(ShardDirectory shards, RandomGenerator random, int keepSeconds) {
        mShardDirectory = shards;
        mRandom = random;
        mKeepSeconds = keepSeconds;
    }

    /**
     * Returns the recommended address and its alternatives as JSON.
     *
     * @param zone zone of the caller; null if it is not given
     * @param selfDraining whether this daemon is draining
     */
    ObjectNode advise(String zone, boolean selfDraining) {
        DaemonInfo self = mShardDirectory.self();
        List<DaemonInfo> candidates = new ArrayList<>();
        List<DaemonInfo> otherZones = new ArrayList<>();
        for (DaemonInfo daemon : mShardDirectory.daemons()) {
            boolean isSelf = daemon.vm().equals(self.vm());
            if (!daemon.draining() && !(isSelf && selfDraining)) {
                boolean sameZone = zone == null || daemon.zone().value().equals(zone);
                (sameZone ? candidates : otherZones).add(daemon);
            }
        }
        shuffle(candidates);
        shuffle(otherZones);
        candidates.addAll(otherZones);
        if (candidates.isEmpty()) {
            candidates.add(self);
        }
        DaemonInfo recommended = candidates.get(0);
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("address", address(recommended));
        root.put("zone", recommended.zone().value());
        root.put("keep_seconds", mKeepSeconds);
        ArrayNode alternatives = root.putArray("alternatives");
        candidates.stream()
                .skip(1)
                .limit(MAX_ALTERNATIVES)
                .forEach(d -> alternatives.add(address(d)));
        return root;
    }

    private void shuffle(List<DaemonInfo> daemons) {
        for (int i = daemons.size() - 1; i > 0; i--) {
            int other = mRandom.nextInt(i + 1);
            DaemonInfo swapped = daemons.get(i);
            daemons.set(i, daemons.get(other));
            daemons.set(other, swapped);
        }
    }

    private static String address(DaemonInfo daemon) {
        return daemon.host() + ":" + daemon.callerPort();
    }
}
