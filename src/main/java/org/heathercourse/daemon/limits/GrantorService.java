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
 * Grants shares of the rates of those workspaces whose shards this daemon owns.
 *
 * <p>All ledgers are accessed on the control executor only, which must be single-threaded. Call
 * {@link #start()} once; the service runs until the executor is shut down.
 */
public final class GrantorService {
    /** Period of the checks of shard ownership and limits, in milliseconds. */
    private static final long UPDATE_PERIOD_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(GrantorService.class);

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final ScheduledExecutorService mControlExecutor;
    private final Map<ShardId, Ownership> mOwnerships = new HashMap<>();
    private final Map<WorkspaceId, OwnedLedger> mLedgers = new HashMap<>();

    /**
     * A fencing number and the time, on the ticker in nanoseconds, at which this daemon was first
     * observed to hold it.
     */
    private record Ownership(long fence, long sinceNanos) {}

    /**
     * A ledger with its fencing number and its current limits, in requests per second and requests.
     */
    private record OwnedLedger(
            long fence, ShareLedger ledger, double ratePerSecond, double burst) {}

    /**
     * Creates the service.
     *
     * @param config source of the current configuration
     * @param shards directory of the shards owned by this daemon
     * @param network network that receives the requests
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
        mControlExecutor = control;
    }

    /** Registers the request handler and starts the periodic check of shard ownership. */
    public void start() {
        mNetwork.onRequest(
                ShareRequest.class,
                request -> {
                    CompletableFuture<ShareReply> reply = new CompletableFuture<>();
                    mControlExecutor.execute(() -> completeReply(request, reply));
                    return reply;
                });
        mControlExecutor.scheduleWithFixedDelay(
                this::updateLedgersSafely, 0, UPDATE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Completes a reply; an error is passed on without a wrapper. */
    private void completeReply(ShareRequest request, CompletableFuture<ShareReply> reply) {
        try {
            reply.complete(handle(request));
        } catch (RuntimeException e) {
            reply.completeExceptionally(e);
        }
    }

    private void updateLedgersSafely() {
        try {
            updateLedgers();
        } catch (RuntimeException e) {
            // An uncaught exception would end the periodic execution.
            LOG.error("ledger_update_failed", e);
        }
    }

    /**
     * Updates ledgers to the current fencing numbers and limits. Runs periodically, so that the
     * time since a takeover is measured from its start rather than from the first request.
     */
    void updateLedgers() {
        DeploymentConfig config = mConfig.current();
        for (int i = 0; i < config.shards(); i++) {
            ownership(new ShardId(i));
        }
        mLedgers.keySet().removeIf(workspace -> hasOtherFence(config, workspace));
        for (WorkspaceSpec spec : config.workspaces()) {
            ownership(ShardId.of(spec.workspace(), config.shards()))
                    .ifPresent(
                            ownership ->
                                    openLedger(
                                            spec.workspace(),
                                            rateAndBurst(config, spec),
                                            ownership));
        }
        for (Map.Entry<WorkspaceId, OwnedLedger> entry : mLedgers.entrySet()) {
            if (config.workspace(entry.getKey()).isEmpty()) {
                entry.setValue(withLimits(entry.getValue(), 0, 0));
            }
        }
    }

    /**
     * Returns whether the ledger of a workspace has another fencing number than its shard. A lease
     * that lapses and is renewed under the same fencing number keeps its ledger: no other daemon
     * has granted shares in the meantime, and a new ledger would lack the outstanding shares.
     */
    private boolean hasOtherFence(DeploymentConfig config, WorkspaceId workspace) {
        return ownership(ShardId.of(workspace, config.shards()))
                .filter(ownership -> ownership.fence() != mLedgers.get(workspace).fence())
                .isPresent();
    }

    private static double[] rateAndBurst(DeploymentConfig config, WorkspaceSpec spec) {
        return new double[] {spec.ratePerSecond(), spec.burst()};
    }

    private Optional<Ownership> ownership(ShardId shard) {
        OptionalLong fence = mShards.fenceForIdempotentWork(shard);
        if (fence.isEmpty()) {
            return Optional.empty();
        }
        Ownership ownership = mOwnerships.get(shard);
        if (ownership == null || ownership.fence() != fence.getAsLong()) {
            ownership = new Ownership(fence.getAsLong(), mTicker.readNanos());
            mOwnerships.put(shard, ownership);
        }
        return Optional.of(ownership);
    }

    /**
     * Handles a request for a share; called on the control executor.
     *
     * @param request the request
     * @return the reply
     * @throws HeathercourseException of kind {@code OWNER_UNAVAILABLE} if this daemon does not own
     *     the shard or has not loaded the workspace, or if the request is malformed or older than
     *     one handled before
     */
    ShareReply handle(ShareRequest request) {
        DeploymentConfig config = mConfig.current();
        WorkspaceId workspace = request.workspace();
        ShardId shard = ShardId.of(workspace, config.shards());
        Ownership ownership =
                ownership(shard)
                        .orElseThrow(
                                () ->
                                        unavailable(
                                                "shard " + shard + " is not owned by this daemon",
                                                "ask the present owner of the shard"));
        if (request.grantorFence() > ownership.fence()) {
            throw unavailable(
                    "the holder has a share with fencing number "
                            + request.grantorFence()
                            + ", but this grantor has "
                            + ownership.fence(),
                    "ask the present owner of the shard");
        }
        WorkspaceSpec spec =
                config.workspace(workspace)
                        .orElseThrow(
                                () ->
                                        unavailable(
                                                "workspace " + workspace + " is not declared here",
                                                "repeat when the configuration is loaded"));
        ShareLedger ledger = openLedger(workspace, rateAndBurst(config, spec), ownership);
        Optional<ShareGrant> grant =
                ledger.onRenewal(ShareMessages.fromMessage(request), mTicker.readNanos());
        if (grant.isEmpty()) {
            throw unavailable(
                    "request "
                            + request.number()
                            + " is malformed or older than the latest request",
                    "use the reply to the latest request");
        }
        return ShareMessages.toMessage(workspace, grant.get());
    }

    private ShareLedger openLedger(
            WorkspaceId workspace, double[] rateAndBurst, Ownership ownership) {
        OwnedLedger ownedLedger = mLedgers.get(workspace);
        if (ownedLedger == null || ownedLedger.fence() != ownership.fence()) {
            ownedLedger =
                    new OwnedLedger(
                            ownership.fence(),
                            new ShareLedger(
                                    ownership.fence(),
                                    rateAndBurst[0],
                                    rateAndBurst[1],
                                    ownership.sinceNanos()),
                            rateAndBurst[0],
                            rateAndBurst[1]);
            LOG.info("ledger_opened", "workspace", workspace, "fence", ownership.fence());
        } else {
            ownedLedger = withLimits(ownedLedger, rateAndBurst[0], rateAndBurst[1]);
        }
        mLedgers.put(workspace, ownedLedger);
        return ownedLedger.ledger();
    }

    private OwnedLedger withLimits(OwnedLedger ownedLedger, double ratePerSecond, double burst) {
        if (ownedLedger.ratePerSecond() == ratePerSecond && ownedLedger.burst() == burst) {
            return ownedLedger;
        }
        ownedLedger.ledger().reconfigure(ratePerSecond, burst, mTicker.readNanos());
        return new OwnedLedger(ownedLedger.fence(), ownedLedger.ledger(), ratePerSecond, burst);
    }

    private static HeathercourseException unavailable(String message, String remedy) {
        return new HeathercourseException(ErrorKind.OWNER_UNAVAILABLE, message, remedy);
    }
}
