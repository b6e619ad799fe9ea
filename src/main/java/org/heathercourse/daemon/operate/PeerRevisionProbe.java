package org.heathercourse.daemon.operate;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage.StatusReply;
import org.heathercourse.daemon.peer.PeerMessage.StatusRequest;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.ops.RevisionProbe;

/**
 * Queries all daemons for their configuration revision in force. Blocks until each has replied or
 * timed out. Safe for use by several threads.
 */
public final class PeerRevisionProbe implements RevisionProbe {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final ShardDirectory mShardDirectory;
    private final PeerNetwork mNetwork;
    private final ConfigSource mConfig;

    /** Creates a probe of the daemons in the shard directory. */
    @Inject
    public PeerRevisionProbe(ShardDirectory shards, PeerNetwork network, ConfigSource config) {
        mShardDirectory = shards;
        mNetwork = network;
        mConfig = config;
    }

    @Override
    public Map<DaemonInfo, Optional<Long>> probe() {
        StatusRequest request =
                new StatusRequest(mShardDirectory.self().vm(), mConfig.current().revision());
        Map<DaemonInfo, CompletableFuture<Optional<Long>>> replies = new LinkedHashMap<>();
        for (DaemonInfo daemon : mShardDirectory.daemons()) {
            replies.put(
                    daemon,
                    mNetwork.request(daemon, request, StatusReply.class, TIMEOUT_MILLIS)
                            .handle(
                                    (reply, failure) ->
                                            Optional.ofNullable(reply).map(StatusReply::revision)));
        }
        Map<DaemonInfo, Optional<Long>> revisions = new LinkedHashMap<>();
        replies.forEach((daemon, answer) -> revisions.put(daemon, answer.join()));
        return revisions;
    }
}
