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
 * Admits requests within this daemon's shares and asks the grantors of their workspaces for more.
 *
 * <p>Admission takes a lock per workspace for a few instructions and does no I/O; requests to
 * grantors are made on the control executor. Call {@link #start()} once; the limiter lives as long
 * as the executor. Safe for use by several threads.
 */
public final class FleetRateLimiter implements RateLimiter {
    /** Default of the longest time to wait for a first share, in milliseconds. */
    public static final long DEFAULT_MAX_WAIT_MILLIS = 300;

    private static final long TICK_MILLIS = 50;
    private static final long REQUEST_TIMEOUT_MILLIS = 500;
    private static final EventLog LOG = EventLog.of(FleetRateLimiter.class);

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final ScheduledExecutorService mControl;
    private final Map<WorkspaceId, LocalShare> mShares = new ConcurrentHashMap<>();

    /** Shares made so far; each has numbers of its own for its requests. */
    private final AtomicLong mGenerations = new AtomicLong();

    /**
     * Creates the limiter.
     *
     * @param config the configuration in force
     * @param shards tells who owns the shard of a workspace
     * @param network carries requests to grantors
     * @param ticker time source
     * @param control executor of the control state
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
        mControl = control;
    }

    /** Starts the periodic requests to grantors. */
    public void start() {
        mControl.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
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
        LocalShare.Admission admission = share.acquire(maxWaitMillis, () -> askSoon(workspace));
        if (admission.admitted()) {
            return Either.right(workspace);
        }
        if (share.retired() && mShares.remove(workspace, share)) {
            return acquire(workspace, maxWaitMillis);
        }
        return Either.left(limited(workspace, admission));
    }

    private LocalShare newShare(WorkspaceId workspace) {
        DaemonInfo self = mShards.self();
        long afterNumber = mGenerations.getAndIncrement() << 32;
        return new LocalShare(self.vm(), self.incarnation(), afterNumber, mTicker);
    }

    private void askSoon(WorkspaceId workspace) {
        mControl.execute(() -> askIfDue(workspace));
    }

    /** Makes the requests that are due and forgets shares that are not used. */
    void tick() {
        try {
            DeploymentConfig config = mConfig.current();
            for (Map.Entry<WorkspaceId, LocalShare> entry : mShares.entrySet()) {
                if (config.workspace(entry.getKey()).isEmpty()) {
                    entry.getValue().retire();
                }
                if (entry.getValue().retireIfUnused()) {
                    mShares.remove(entry.getKey(), entry.getValue());
                } else {
                    askIfDue(entry.getKey());
                }
            }
        } catch (RuntimeException e) {
            // An exception would end the periodic execution.
            LOG.error("share_tick_failed", e);
        }
    }

    private void askIfDue(WorkspaceId workspace) {
        LocalShare share = mShares.get(workspace);
        if (share == null) {
            return;
        }
        ShardId shard = ShardId.of(workspace, mConfig.current().shards());
        Optional<DaemonInfo> owner = mShards.owner(shard);
        if (owner.isEmpty()) {
            share.clearAskPending();
            return;
        }
        share.askIfDue()
                .ifPresent(
                        ask -> {
                            mNetwork.request(
                                            owner.get(),
                                            ShareMessages.toMessage(workspace, ask),
                                            ShareReply.class,
                                            REQUEST_TIMEOUT_MILLIS)
                                    .whenComplete(
                                            (reply, failure) -> {
                                                if (failure != null) {
                                                    share.onFailure(ask.number());
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
                                                            ask.number(),
                                                            ShareMessages.fromMessage(reply));
                                                }
                                            });
                        });
    }

    private static HeathercourseException limited(
            WorkspaceId workspace, LocalShare.Admission admission) {
        String found =
                admission.holdsShare()
                        ? "no request left in this daemon's share"
                        : "no share of the rate has arrived at this daemon";
        return HeathercourseException.builder(ErrorKind.RATE_LIMITED)
                .message("workspace " + workspace + " is limited: " + found)
                .remedy("repeat after the stated time or ask an operator for a higher rate")
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
