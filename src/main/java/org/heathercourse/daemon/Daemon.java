package org.heathercourse.daemon;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.VmSpec;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallAcceptor;
import org.heathercourse.daemon.config.ConfigWatcher;
import org.heathercourse.daemon.http.AdminServer;
import org.heathercourse.daemon.http.CallerServer;
import org.heathercourse.daemon.http.HttpSettings;
import org.heathercourse.daemon.limits.FleetRateLimiter;
import org.heathercourse.daemon.limits.GrantorService;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.schedule.TargetTelemetry;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.daemon.state.StateEngine;
import org.heathercourse.daemon.state.StateExecutors;
import org.heathercourse.log.EventLog;
import org.heathercourse.ops.OperatorServer;

/**
 * Starts the components of a daemon and shuts them down without interrupting running requests.
 *
 * <p>Life cycle: {@link #start} once, then {@link #drainAndStop} once. Safe for use by several
 * threads.
 */
@Singleton
public final class Daemon {
    private static final EventLog LOG = EventLog.of(Daemon.class);
    private static final long POLL_MILLIS = 50;

    /**
     * Time in milliseconds in which requests that have not ended are answered with an error before
     * the exit.
     */
    private static final long ERROR_MILLIS = 3_000;

    private final Settings mSettings;
    private final HttpSettings mHttpSettings;
    private final Ticker mTicker;
    private final StateEngine mStateEngine;
    private final StateExecutors mExecutors;
    private final ConfigWatcher mConfigWatcher;
    private final FleetRateLimiter mRateLimiter;
    private final GrantorService mGrantorService;
    private final NettyPeerNetwork mNetwork;
    private final CallAcceptor mCallAcceptor;
    private final TargetTelemetry mTelemetry;
    private final CallerServer mCallerServer;
    private final AdminServer mAdminServer;
    private final OperatorServer mOperatorServer;
    private final VmListWatcher mVmListWatcher;
    private final AtomicBoolean mLeaveTriggered = new AtomicBoolean();

    @Inject
    Daemon(
            Settings settings,
            HttpSettings http,
            Ticker ticker,
            StateEngine state,
            StateExecutors executors,
            ConfigWatcher config,
            FleetRateLimiter limiter,
            GrantorService grantor,
            NettyPeerNetwork network,
            CallAcceptor calls,
            TargetTelemetry telemetry,
            CallerServer callers,
            AdminServer admin,
            OperatorServer operators,
            VmListWatcher vmList) {
        mSettings = settings;
        mHttpSettings = http;
        mTicker = ticker;
        mStateEngine = state;
        mExecutors = executors;
        mConfigWatcher = config;
        mRateLimiter = limiter;
        mGrantorService = grantor;
        mNetwork = network;
        mCallAcceptor = calls;
        mTelemetry = telemetry;
        mCallerServer = callers;
        mAdminServer = admin;
        mOperatorServer = operators;
        mVmListWatcher = vmList;
    }

    /**
     * Starts all components.
     *
     * @param onLeave runs once when the VM is declared as not accepting new work or listed as
     *     leaving
     * @throws HeathercourseException of kind {@code INVALID_SETTING} if a port cannot be used
     */
    public void start(Runnable onLeave) {
        mNetwork.start();
        mCallAcceptor.register(mNetwork);
        mGrantorService.start();
        mConfigWatcher.start();
        mStateEngine.start();
        mRateLimiter.start();
        mTelemetry.start(mExecutors.control(), mExecutors.storeCalls());
        mConfigWatcher.onChange(config -> applyDeclaredState(config, onLeave));
        mVmListWatcher.start(() -> leaveOnce("listed as leaving", onLeave));
        startOperatorServer();
        mCallerServer.start();
        mAdminServer.start();
        LOG.info(
                "daemon_started",
                "vm",
                mSettings.vm(),
                "zone",
                mSettings.zone(),
                "incarnation",
                mStateEngine.self().incarnation(),
                "caller_port",
                mSettings.text(Setting.CALLER_PORT));
    }

    private void startOperatorServer() {
        try {
            mOperatorServer.start();
        } catch (IOException e) {
            throw HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                    .message("cannot listen on operator port " + e.getMessage())
                    .remedy("choose a free operator port")
                    .cause(e)
                    .build();
        }
    }

    private void applyDeclaredState(DeploymentConfig config, Runnable onLeave) {
        for (VmSpec vm : config.vms()) {
            if (vm.vm().equals(mSettings.vm()) && !vm.state().takesNewWork()) {
                leaveOnce("declared " + vm.state(), onLeave);
            }
        }
    }

    private void leaveOnce(String reason, Runnable onLeave) {
        if (mLeaveTriggered.compareAndSet(false, true)) {
            LOG.info("daemon_leaving", "vm", mSettings.vm(), "reason", reason);
            onLeave.run();
        }
    }

    /**
     * Shuts down gracefully: directs callers to other daemons, hands over the shards, waits for
     * running requests and closes all components.
     *
     * <p>Requests that arrive in the meantime are served until callers have dropped the address,
     * and afterwards if they end in time. {@link Setting#DRAIN_TIMEOUT_SECONDS} limits the time for
     * which running requests may continue then.
     */
    public void drainAndStop() {
        mLeaveTriggered.set(true);
        DrainSchedule schedule = startLeaving();
        boolean released = awaitShardHandover(schedule.millisToResponseEnd(mTicker.readMillis()));
        awaitUntil(
                () -> schedule.millisToServeEnd(mTicker.readMillis()) == 0,
                schedule.millisToServeEnd(mTicker.readMillis()));
        boolean idle =
                awaitUntil(
                        () -> mCallerServer.activeRequests() == 0,
                        schedule.millisToResponseEnd(mTicker.readMillis()));
        mCallerServer.endResponses(
                schedule.millisToResponseEnd(mTicker.readMillis()) + ERROR_MILLIS);
        LOG.info("daemon_drained", "vm", mSettings.vm(), "released", released, "idle", idle);
        mCallerServer.close();
        mOperatorServer.close();
        mStateEngine.close();
        mNetwork.close();
        mAdminServer.close();
    }

    private DrainSchedule startLeaving() {
        long timeoutMillis =
                TimeUnit.SECONDS.toMillis(mSettings.number(Setting.DRAIN_TIMEOUT_SECONDS));
        // Callers that received this address earlier may use it until their keep time expires.
        long addressExpiryMillis = TimeUnit.SECONDS.toMillis(mHttpSettings.keepSeconds() + 1);
        long serveMillis = Math.min(addressExpiryMillis, timeoutMillis);
        DrainSchedule schedule =
                DrainSchedule.of(mTicker.readMillis(), serveMillis, serveMillis + timeoutMillis);
        mCallerServer.leave(schedule);
        LOG.info(
                "daemon_draining",
                "vm",
                mSettings.vm(),
                "active_requests",
                mCallerServer.activeRequests(),
                "serve_ms",
                serveMillis,
                "response_ms",
                serveMillis + timeoutMillis);
        return schedule;
    }

    private boolean awaitUntil(BooleanSupplier condition, long timeoutMillis) {
        long deadlineMillis = mTicker.readMillis() + timeoutMillis;
        while (!condition.getAsBoolean() && mTicker.readMillis() < deadlineMillis) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
        return condition.getAsBoolean();
    }

    private boolean awaitShardHandover(long timeoutMillis) {
        try {
            mStateEngine.drain().get(timeoutMillis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            LOG.warn("drain_timed_out", "timeout_ms", timeoutMillis);
        } catch (ExecutionException e) {
            LOG.error("drain_failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }
}
