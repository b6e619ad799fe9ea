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

/** Asks all daemons for the revision in force. Safe for use by several threads. */
public final class PeerRevisionProbe implements RevisionProbe {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final ConfigSource mConfig;

    /** Creates the probe. */
    @Inject
    public PeerRevisionProbe(ShardDirectory shards, PeerNetwork network, ConfigSource config) {
        mShards = shards;
        mNetwork = network;
        mConfig = config;
    }

    @Override
    public Map<DaemonInfo, Optional<Long>> probe() {
        StatusRequest request =
                new StatusRequest(mShards.self().vm(), mConfig.current().revision());
        Map<DaemonInfo, CompletableFuture<Optional<Long>>> asked = new LinkedHashMap<>();
        for (DaemonInfo daemon : mShards.daemons()) {
            asked.put(
                    daemon,
                    mNetwork.request(daemon, request, StatusReply.class, TIMEOUT_MILLIS)
                            .handle(
                                    (reply, failure) ->
                                            Optional.ofNullable(reply).map(StatusReply::revision)));
        }
        Map<DaemonInfo, Optional<Long>> answers = new LinkedHashMap<>();
        asked.forEach((daemon, answer) -> answers.put(daemon, answer.join()));
        return answers;
    }
}
