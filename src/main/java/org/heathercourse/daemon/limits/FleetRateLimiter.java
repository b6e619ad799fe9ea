package org.heathercourse.daemon.limits;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage.ShareReply;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.log.EventLog;

/**
 * Rate limiter that admits requests from this daemon's shares and requests shares from the grantors
 * of the workspaces.
 *
 * <p>Admission holds a lock per workspace for a few instructions and does no I/O; requests to
 * grantors are made on the control executor. Call {@link #start()} once; the limiter runs until the
 * executor is shut down. Safe for use by several threads.
 */
public final class FleetRateLimiter implements RateLimiter {
    /** Default of the maximum wait for a first share, in milliseconds. */
    public static final long DEFAULT_MAX_WAIT_MILLIS = 300;

    private static final long UPDATE_PERIOD_MILLIS = 50;
    private static final long REQUEST_TIMEOUT_MILLIS = 500;
    private static final EventLog LOG = EventLog.of(FleetRateLimiter.class);

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final ScheduledExecutorService mControlExecutor;
    private final Map<WorkspaceId, LocalShare> mShares = new ConcurrentHashMap<>();

    /** Number of shares created so far. Each share gets a separate range of renewal numbers. */
    private final AtomicLong mShareCount = new AtomicLong();

    /**
     * Creates the limiter.
     *
     * @param config source of the current configuration
     * @param shards directory of the owners of shards
     * @param network network for requests to grantors
     * @param ticker time source
     * @param control executor for requests to grantors
     */
    public FleetRateLimiter(
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

    /** Starts the periodic requests to grantors. */
    public void start() {
        mControlExecutor.scheduleWithFixedDelay(
                this::update, 0, UPDATE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Either<HeathercourseException, WorkspaceId> tryAcquire(WorkspaceId workspace) {
        return acquire(workspace, 0);
    }

    @Override
    public Either<HeathercourseException, WorkspaceId> acquire(
            WorkspaceId workspace, long maxWaitMillis) {
        LocalShare share = mShares.get(workspace);
        if (share == null) {
            if (mConfig.current().workspace(workspace).isEmpty()) {
                return Either.left(undeclared(workspace));
            }
            share = mShares.computeIfAbsent(workspace, this::newShare);
        }
        LocalShare.Admission admission =
                share.acquire(maxWaitMillis, () -> scheduleRenewal(workspace));
        if (admission.admitted()) {
            return Either.right(workspace);
        }
        if (share.isRetired() && mShares.remove(workspace, share)) {
            return acquire(workspace, maxWaitMillis);
        }
        return Either.left(rateLimited(workspace, admission));
    }

    private LocalShare newShare(WorkspaceId workspace) {
        DaemonInfo self = mShards.self();
        long lastRenewalNumber = mShareCount.getAndIncrement() << 32;
        return new LocalShare(self.vm(), self.incarnation(), lastRenewalNumber, mTicker);
    }

    private void scheduleRenewal(WorkspaceId workspace) {
        mControlExecutor.execute(() -> renewShareIfDue(workspace));
    }

    /** Sends the renewals that are due and removes unused shares. */
    void update() {
        try {
            DeploymentConfig config = mConfig.current();
            for (Map.Entry<WorkspaceId, LocalShare> entry : mShares.entrySet()) {
                if (config.workspace(entry.getKey()).isEmpty()) {
                    entry.getValue().retire();
                }
                if (entry.getValue().retireIfUnused()) {
                    mShares.remove(entry.getKey(), entry.getValue());
                } else {
                    renewShareIfDue(entry.getKey());
                }
            }
        } catch (RuntimeException e) {
            // An uncaught exception would end the periodic execution.
            LOG.error("share_update_failed", e);
        }
    }

    private void renewShareIfDue(WorkspaceId workspace) {
        LocalShare share = mShares.get(workspace);
        if (share == null) {
            return;
        }
        ShardId shard = ShardId.of(workspace, mConfig.current().shards());
        Optional<DaemonInfo> owner = mShards.owner(shard);
        if (owner.isEmpty()) {
            share.clearRenewalScheduled();
            return;
        }
        share.nextRenewalIfDue()
                .ifPresent(
                        renewal -> {
                            mNetwork.request(
                                            owner.get(),
                                            ShareMessages.toMessage(workspace, renewal),
                                            ShareReply.class,
                                            REQUEST_TIMEOUT_MILLIS)
                                    .whenComplete(
                                            (reply, failure) -> {
                                                if (failure != null) {
                                                    share.onRenewalFailed(renewal.number());
                                                    LOG.debug(
                                                            "share_request_failed",
                                                            "workspace",
                                                            workspace,
                                                            "owner",
                                                            owner.get().vm(),
                                                            "cause",
                                                            failure);
                                                } else {
                                                    share.onGrant(
                                                            renewal.number(),
                                                            ShareMessages.fromMessage(reply));
                                                }
                                            });
                        });
    }

    private static HeathercourseException rateLimited(
            WorkspaceId workspace, LocalShare.Admission admission) {
        String cause =
                admission.holdsShare()
                        ? "this daemon's share of the rate is used up"
                        : "this daemon has not received a share of the rate yet";
        return HeathercourseException.builder(ErrorKind.RATE_LIMITED)
                .message("workspace " + workspace + " is limited: " + cause)
                .remedy("repeat after the retry time, or ask an operator for a higher rate")
                .retryAfterMillis(admission.retryAfterMillis())
                .build();
    }

    private static HeathercourseException undeclared(WorkspaceId workspace) {
        return new HeathercourseException(
                ErrorKind.FORBIDDEN,
                "workspace " + workspace + " is not declared, expected a declared workspace",
                "ask an operator to declare the workspace");
    }
}
