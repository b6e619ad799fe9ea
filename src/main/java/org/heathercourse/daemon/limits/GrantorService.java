package org.heathercourse.daemon.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.limits.ShareGrant;
import org.heathercourse.core.limits.ShareLedger;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage.ShareReply;
import org.heathercourse.daemon.peer.PeerMessage.ShareRequest;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.log.EventLog;

/**
 * Answers requests for shares of the workspaces whose shards this daemon owns.
 *
 * <p>All ledgers are used on the control executor only, which must be single-threaded. Call {@link
 * #start()} once; the service lives as long as the executor.
 */
public final class GrantorService {
    /** Time between looks at the ownership of shards, in milliseconds. */
    private static final long OBSERVE_PERIOD_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(GrantorService.class);

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final ScheduledExecutorService mControl;
    private final Map<ShardId, Tenure> mTenures = new HashMap<>();
    private final Map<WorkspaceId, OwnedLedger> mLedgers = new HashMap<>();

    /** A fence and the reading at which this daemon was first seen to hold it. */
    private record Tenure(long fence, long sinceNanos) {}

    /** A ledger with the fence that it belongs to and the limits that it was given last. */
    private record OwnedLedger(long fence, ShareLedger ledger, double rate, double burst) {}

    /**
     * Creates the service.
     *
     * @param config the configuration in force
     * @param shards tells which shards are owned here
     * @param network brings requests
     * @param ticker time source
     * @param control single-threaded executor of the control state
     */
    public GrantorService(
            ConfigSource config,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            ScheduledExecutorService control) {
        mConfig = config;
        mShards = shards;
        mNetwork = network;
        mTicker = ticker;
        mControl = control;
    }

    /** Registers the handler and starts to observe the ownership of shards. */
    public void start() {
        mNetwork.onRequest(
                ShareRequest.class,
                request -> {
                    CompletableFuture<ShareReply> reply = new CompletableFuture<>();
                    mControl.execute(() -> answer(request, reply));
                    return reply;
                });
        mControl.scheduleWithFixedDelay(
                this::observeSafely, 0, OBSERVE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Completes a reply; an error is passed on as it is, not wrapped. */
    private void answer(ShareRequest request, CompletableFuture<ShareReply> reply) {
        try {
            reply.complete(handle(request));
        } catch (RuntimeException e) {
            reply.completeExceptionally(e);
        }
    }

    private void observeSafely() {
        try {
            observe();
        } catch (RuntimeException e) {
            // An exception would end the periodic execution.
            LOG.error("grantor_observe_failed", e);
        }
    }

    /** Notes new fences and limits, so that the time since a takeover is known early. */
    void observe() {
        DeploymentConfig config = mConfig.current();
        for (int i = 0; i < config.shards(); i++) {
            tenure(new ShardId(i));
        }
        mLedgers.keySet().removeIf(workspace -> replaced(config, workspace));
        for (WorkspaceSpec spec : config.workspaces()) {
            tenure(ShardId.of(spec.workspace(), config.shards()))
                    .ifPresent(tenure -> ledger(spec.workspace(), limits(config, spec), tenure));
        }
        for (Map.Entry<WorkspaceId, OwnedLedger> entry : mLedgers.entrySet()) {
            if (config.workspace(entry.getKey()).isEmpty()) {
                entry.setValue(reconfigured(entry.getValue(), 0, 0));
            }
        }
    }

    /**
     * Returns whether the ledger of a workspace belongs to an earlier fence. A lease that lapses
     * and returns under the same fence keeps its ledger: nobody else has granted meanwhile, and a
     * new ledger would not know the shares that are outstanding.
     */
    private boolean replaced(DeploymentConfig config, WorkspaceId workspace) {
        return tenure(ShardId.of(workspace, config.shards()))
                .filter(tenure -> tenure.fence() != mLedgers.get(workspace).fence())
                .isPresent();
    }

    private static double[] limits(DeploymentConfig config, WorkspaceSpec spec) {
        return new double[] {spec.ratePerSecond(), spec.burst()};
    }

    private Optional<Tenure> tenure(ShardId shard) {
        OptionalLong fence = mShards.fenceForIdempotentWork(shard);
        if (fence.isEmpty()) {
            return Optional.empty();
        }
        Tenure known = mTenures.get(shard);
        if (known == null || known.fence() != fence.getAsLong()) {
            known = new Tenure(fence.getAsLong(), mTicker.readNanos());
            mTenures.put(shard, known);
        }
        return Optional.of(known);
    }

    /**
     * Answers a request on the control executor.
     *
     * @param request the request
     * @return the reply
     * @throws HeathercourseException of kind {@code OWNER_UNAVAILABLE} if the shard is not owned
     *     here or the request was overtaken by a later one
     */
    ShareReply handle(ShareRequest request) {
        DeploymentConfig config = mConfig.current();
        WorkspaceId workspace = request.workspace();
        ShardId shard = ShardId.of(workspace, config.shards());
        Tenure tenure =
                tenure(shard)
                        .orElseThrow(
                                () ->
                                        unavailable(
                                                "shard " + shard + " is not owned by this daemon",
                                                "ask the present owner of the shard"));
        if (request.grantorFence() > tenure.fence()) {
            throw unavailable(
                    "holder has a share of fence "
                            + request.grantorFence()
                            + ", this grantor has fence "
                            + tenure.fence(),
                    "ask the present owner of the shard");
        }
        WorkspaceSpec spec =
                config.workspace(workspace)
                        .orElseThrow(
                                () ->
                                        unavailable(
                                                "workspace " + workspace + " is not declared here",
                                                "repeat when the configuration is in force"));
        ShareLedger ledger = ledger(workspace, limits(config, spec), tenure);
        Optional<ShareGrant> grant =
                ledger.onRenewal(ShareMessages.fromMessage(request), mTicker.readNanos());
        if (grant.isEmpty()) {
            throw unavailable(
                    "request " + request.number() + " was overtaken or is malformed",
                    "use the reply to the latest request");
        }
        return ShareMessages.toMessage(workspace, grant.get());
    }

    private ShareLedger ledger(WorkspaceId workspace, double[] limits, Tenure tenure) {
        OwnedLedger owned = mLedgers.get(workspace);
        if (owned == null || owned.fence() != tenure.fence()) {
            owned =
                    new OwnedLedger(
                            tenure.fence(),
                            new ShareLedger(
                                    tenure.fence(), limits[0], limits[1], tenure.sinceNanos()),
                            limits[0],
                            limits[1]);
            LOG.info("ledger_opened", "workspace", workspace, "fence", tenure.fence());
        } else {
            owned = reconfigured(owned, limits[0], limits[1]);
        }
        mLedgers.put(workspace, owned);
        return owned.ledger();
    }

    private OwnedLedger reconfigured(OwnedLedger owned, double rate, double burst) {
        if (owned.rate() == rate && owned.burst() == burst) {
            return owned;
        }
        owned.ledger().reconfigure(rate, burst, mTicker.readNanos());
        return new OwnedLedger(owned.fence(), owned.ledger(), rate, burst);
    }

    private static HeathercourseException unavailable(String message, String remedy) {
        return new HeathercourseException(ErrorKind.OWNER_UNAVAILABLE, message, remedy);
    }
}
