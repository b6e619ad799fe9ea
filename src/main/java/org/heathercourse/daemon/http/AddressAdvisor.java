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
 * Tells callers which daemon to use: one that stays, in their zone if possible, chosen at random so
 * that callers spread over the fleet. Safe for use by several threads.
 */
final class AddressAdvisor {
    private static final int MAX_ALTERNATIVES = 3;

    private final ShardDirectory mShards;
    private final RandomGenerator mRandom;
    private final int mKeepSeconds;

    AddressAdvisor(ShardDirectory shards, RandomGenerator random, int keepSeconds) {
        mShards = shards;
        mRandom = random;
        mKeepSeconds = keepSeconds;
    }

    /**
     * Returns the advice as JSON.
     *
     * @param zone zone of the caller; null if it names none
     * @param selfDraining whether this daemon is leaving
     */
    ObjectNode advise(String zone, boolean selfDraining) {
        DaemonInfo self = mShards.self();
        List<DaemonInfo> near = new ArrayList<>();
        List<DaemonInfo> far = new ArrayList<>();
        for (DaemonInfo daemon : mShards.daemons()) {
            boolean own = daemon.vm().equals(self.vm());
            if (!daemon.draining() && !(own && selfDraining)) {
                boolean sameZone = zone == null || daemon.zone().value().equals(zone);
                (sameZone ? near : far).add(daemon);
            }
        }
        shuffle(near);
        shuffle(far);
        near.addAll(far);
        if (near.isEmpty()) {
            near.add(self);
        }
        DaemonInfo first = near.get(0);
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("address", address(first));
        root.put("zone", first.zone().value());
        root.put("keep_seconds", mKeepSeconds);
        ArrayNode others = root.putArray("alternatives");
        near.stream().skip(1).limit(MAX_ALTERNATIVES).forEach(d -> others.add(address(d)));
        return root;
    }

    private void shuffle(List<DaemonInfo> daemons) {
        for (int i = daemons.size() - 1; i > 0; i--) {
            int other = mRandom.nextInt(i + 1);
            DaemonInfo moved = daemons.get(i);
            daemons.set(i, daemons.get(other));
            daemons.set(other, moved);
        }
    }

    private static String address(DaemonInfo daemon) {
        return daemon.host() + ":" + daemon.callerPort();
    }
}
