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
 * One daemon: starts its parts, and stops them so that no request is cut off.
 *
 * <p>Life cycle: {@link #start} once, then {@link #drainAndStop} once. Safe for use by several
 * threads.
 */
@Singleton
public final class Daemon {
    private static final EventLog LOG = EventLog.of(Daemon.class);
    private static final long IDLE_POLL_MILLIS = 50;

    private final Settings mSettings;
    private final HttpSettings mHttp;
    private final Ticker mTicker;
    private final StateEngine mState;
    private final StateExecutors mExecutors;
    private final ConfigWatcher mConfig;
    private final FleetRateLimiter mLimiter;
    private final GrantorService mGrantor;
    private final NettyPeerNetwork mNetwork;
    private final CallAcceptor mCalls;
    private final TargetTelemetry mTelemetry;
    private final CallerServer mCallers;
    private final AdminServer mAdmin;
    private final OperatorServer mOperators;
    private final VmListWatcher mVmList;
    private final AtomicBoolean mLeaving = new AtomicBoolean();

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
        mHttp = http;
        mTicker = ticker;
        mState = state;
        mExecutors = executors;
        mConfig = config;
        mLimiter = limiter;
        mGrantor = grantor;
        mNetwork = network;
        mCalls = calls;
        mTelemetry = telemetry;
        mCallers = callers;
        mAdmin = admin;
        mOperators = operators;
        mVmList = vmList;
    }

    /**
     * Starts all parts.
     *
     * @param leave run once when this VM is declared or listed as leaving
     * @throws HeathercourseException of kind {@code INVALID_SETTING} if a port cannot be used
     */
    public void start(Runnable leave) {
        mNetwork.start();
        mCalls.register(mNetwork);
        mGrantor.start();
        mConfig.start();
        mState.start();
        mLimiter.start();
        mTelemetry.start(mExecutors.control(), mExecutors.storeCalls());
        mConfig.onChange(config -> applyDeclaredState(config, leave));
        mVmList.start(() -> leaveOnce("listed as leaving", leave));
        startOperators();
        mCallers.start();
        mAdmin.start();
        LOG.info(
                "daemon_started",
                "vm",
                mSettings.vm(),
                "zone",
                mSettings.zone(),
                "incarnation",
                mState.self().incarnation(),
                "caller_port",
                mSettings.text(Setting.CALLER_PORT));
    }

    private void startOperators() {
        try {
            mOperators.start();
        } catch (IOException e) {
            throw HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                    .message("cannot listen on operator port " + e.getMessage())
                    .remedy("choose a free operator port")
                    .cause(e)
                    .build();
        }
    }

    private void applyDeclaredState(DeploymentConfig config, Runnable leave) {
        for (VmSpec vm : config.vms()) {
            if (vm.vm().equals(mSettings.vm()) && !vm.state().takesNewWork()) {
                leaveOnce("declared " + vm.state(), leave);
            }
        }
    }

    private void leaveOnce(String reason, Runnable leave) {
        if (mLeaving.compareAndSet(false, true)) {
            LOG.info("daemon_leaving", "vm", mSettings.vm(), "reason", reason);
            leave.run();
        }
    }

    /**
     * Steers callers elsewhere, hands the shards over, lets running requests end, and stops.
     *
     * <p>Requests that still arrive meanwhile are served, since callers keep an address for a
     * while.
     */
    public void drainAndStop() {
        mLeaving.set(true);
        mCallers.setDraining(true);
        long timeoutMillis =
                TimeUnit.SECONDS.toMillis(mSettings.number(Setting.DRAIN_TIMEOUT_SECONDS));
        long start = mTicker.readMillis();
        boolean released = awaitRelease(timeoutMillis);
        // Callers that were told this address before may use it for as long as they keep it.
        long kept = start + TimeUnit.SECONDS.toMillis(mHttp.keepSeconds() + 1);
        awaitUntil(() -> mTicker.readMillis() >= kept, timeoutMillis);
        boolean idle = awaitUntil(() -> mCallers.activeRequests() == 0, timeoutMillis);
        LOG.info("daemon_drained", "vm", mSettings.vm(), "released", released, "idle", idle);
        mCallers.close();
        mOperators.close();
        mState.close();
        mNetwork.close();
        mAdmin.close();
    }

    private boolean awaitUntil(BooleanSupplier condition, long timeoutMillis) {
        long end = mTicker.readMillis() + timeoutMillis;
        while (!condition.getAsBoolean() && mTicker.readMillis() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(IDLE_POLL_MILLIS));
        }
        return condition.getAsBoolean();
    }

    private boolean awaitRelease(long timeoutMillis) {
        try {
            mState.drain().get(timeoutMillis, TimeUnit.MILLISECONDS);
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
