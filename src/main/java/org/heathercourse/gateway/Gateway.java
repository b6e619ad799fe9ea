package org.heathercourse.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.MetricSet;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.limits.RateGrant;
import org.heathercourse.core.limits.RateRequest;
import org.heathercourse.core.limits.WorkspaceRates;
import org.heathercourse.core.load.OwnWork;
import org.heathercourse.core.load.WaitEstimate;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.ColdTargetRule;
import org.heathercourse.core.target.LocalWaitEstimator;
import org.heathercourse.core.target.ObjectAffinity;
import org.heathercourse.core.target.RegionRule;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.call.CallDependencies;
import org.heathercourse.gateway.call.CallMetrics;
import org.heathercourse.gateway.call.LoadTracking;
import org.heathercourse.gateway.control.ControlPlane;
import org.heathercourse.gateway.control.HistoryOptions;
import org.heathercourse.gateway.control.LoadSharing;
import org.heathercourse.gateway.control.LoadSharingMode;
import org.heathercourse.gateway.history.HistoryMetrics;
import org.heathercourse.gateway.http.CallerServer;
import org.heathercourse.gateway.http.ClosedConnections;
import org.heathercourse.gateway.http.ClosedConnections.Cause;
import org.heathercourse.gateway.http.ConnectionLimits;
import org.heathercourse.gateway.http.EndpointServer;
import org.heathercourse.gateway.http.EndpointServer.Response;
import org.heathercourse.gateway.target.TargetPools;
import org.heathercourse.log.EventLog;
import org.heathercourse.metrics.PrometheusText;
import org.heathercourse.platform.entry.EntryFormat;
import org.heathercourse.platform.entry.HostedPlatform;

/**
 * The gateway of one VM: one event loop for the control plane and one for traffic.
 *
 * <p>Life cycle: create, {@link #start}, {@link #leave}, {@link #stop}, {@link #close}. Calls of
 * these methods must not overlap.
 */
public final class Gateway {
    /**
     * Time in milliseconds by which keys expire before the withdrawal limit. Covers a read for
     * changes, which can miss a change for up to a second, and the transit time of a request.
     */
    private static final long KEY_WITHDRAWAL_MARGIN_MILLIS = 1_300;

    /** Maximum number of gateway addresses in a directory response. */
    private static final int MAX_ADDRESSES = 64;

    /** Time in milliseconds in which error responses reach callers before the process exits. */
    private static final long FINAL_RESPONSE_MILLIS = 100;

    /** Time in milliseconds between two runs of the traffic loop's housekeeping. */
    private static final long HOUSEKEEPING_PERIOD_MILLIS = 500;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Time in milliseconds after which an event loop that ends takes no more tasks. */
    private static final long LOOP_END_MILLIS = 100;

    /** Maximum time in milliseconds to wait for the threads of all event loops together. */
    private static final long CLOSE_MILLIS = 200;

    private static final EventLog LOG = EventLog.of(Gateway.class);

    private volatile Settings mSettings;
    private final EntryFormat mEntryFormat;
    private final LoopThreads mLoopThreads;
    private final EventLoopGroup mControlGroup;
    private final EventLoopGroup mTrafficGroup;
    private final EventLoop mTraffic;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ControlPlane mControl;
    private final WorkspaceRates mRates;

    /** Confined to the traffic loop. */
    private final MemoryBudget mMemory;

    private final ConnectionLimits mConnectionLimits = ConnectionLimits.ofProcess();
    private final ClosedConnections mClosedConnections;
    private final TargetPools mPools;
    private final CallerServer mCallerServer;

    /** Confined to the traffic loop. */
    private final RandomGenerator mTrafficRandom;

    private final Ticker mTicker;
    private volatile DrainSchedule mDrainSchedule = DrainSchedule.NOT_LEAVING;

    /**
     * Creates a gateway whose ports are closed and starts its control plane.
     *
     * @param settings settings of the gateway
     * @param platform adapter for the hosted platform's names and formats
     * @param ticker monotonic clock
     * @param clock wall clock
     * @param random cryptographically strong source of random numbers
     */
    public Gateway(
            Settings settings,
            HostedPlatform platform,
            Ticker ticker,
            Clock clock,
            RandomGenerator random) {
        mSettings = settings;
        mTicker = ticker;
        mLoopThreads = new LoopThreads(ticker);
        mControlGroup =
                new WatchedEventLoopGroup(
                        mLoopThreads.factory("control"), Gateway::onDelayedTaskFailed);
        mTrafficGroup =
                new WatchedEventLoopGroup(
                        mLoopThreads.factory("traffic"), Gateway::onDelayedTaskFailed);
        mTraffic = mTrafficGroup.next();
        mEntryFormat = platform.entryFormat();
        mTrafficRandom = new SplittableRandom(random.nextLong());
        mControl =
                new ControlPlane(
                        describeSelf(settings, clock),
                        settings.endpoint(Setting.STORE_ADDRESS),
                        platform,
                        mControlGroup,
                        ticker,
                        new SuspendAwareClock(ticker, clock),
                        random,
                        this::reserveRate,
                        new HistoryOptions(
                                clock,
                                new HistoryMetrics(mMetrics),
                                settings.number(Setting.MAX_HISTORY_BYTES)),
                        mConnectionLimits.handshakes());
        mMemory = new MemoryBudget(settings.number(Setting.MAX_BUFFER_BYTES));
        mClosedConnections = new ClosedConnections(ticker);
        CallMetrics callMetrics = new CallMetrics(mMetrics);
        mRates = new WorkspaceRates(mControl.rateFractions(), ticker);
        mPools =
                new TargetPools(
                        mTraffic,
                        ticker,
                        platform.callFormat(),
                        callMetrics,
                        mMemory,
                        target -> recordLeaving(target, callMetrics));
        Zone zone = settings.zone();
        OwnWork ownWork = new OwnWork();
        LoadSharing loadSharing = mControl.loadSharing();
        loadSharing.configure(
                LoadSharingMode.fromSetting(settings.text(Setting.LOAD_SHARING)),
                () ->
                        CompletableFuture.supplyAsync(
                                () -> ownWork.snapshot(ticker.readMillis()), mTraffic));
        WaitEstimate waits =
                new WaitEstimate(
                        loadSharing::shared,
                        ownWork,
                        new SuspendAwareClock(ticker, clock),
                        mTrafficRandom,
                        new LocalWaitEstimator());
        mControl.start();
        CallDependencies services =
                new CallDependencies(
                        mTraffic,
                        ticker,
                        zone,
                        mControl.clusterView(),
                        mControl.configurationAge(),
                        this::maxConfigurationAgeMillis,
                        platform.callFormat(),
                        mRates,
                        mControl.rateService(),
                        mControl.budgetService(),
                        mControl.crashRecords(),
                        mPools,
                        new TargetSelector(zone, mTrafficRandom, waits),
                        regionRule(settings, platform),
                        new ObjectAffinity(zone),
                        new ColdTargetRule(
                                settings.vm(),
                                mControl.coldTargets(),
                                mControl.fleetHistory(),
                                ticker),
                        new LoadTracking(loadSharing, ownWork, waits),
                        mTrafficRandom,
                        callMetrics,
                        mMemory,
                        () -> mDrainSchedule,
                        mControl.turnHistory(),
                        settings.number(Setting.MAX_HISTORY_BYTES));
        mCallerServer = new CallerServer(services, mConnectionLimits.callers(), mClosedConnections);
        mMetrics.registerAll(gauges());
        mMetrics.registerAll(zoneGauges());
        mMetrics.registerAll(loadSharing.metrics());
        mMetrics.registerAll(closedConnectionGauges());
    }

    private long maxConfigurationAgeMillis() {
        return (long) mSettings.decimal(Setting.KEY_WITHDRAWAL_MS) - KEY_WITHDRAWAL_MARGIN_MILLIS;
    }

    /**
     * Takes over the values of settings that can change while the gateway runs; a planned stop that
     * has begun keeps its times. Logs each change, also of those that need a restart.
     *
     * @param newer settings that were read later
     */
    public void reload(Settings newer) {
        Settings before = mSettings;
        Settings after = before.reloadFrom(newer);
        for (Setting setting : before.differencesFrom(after)) {
            LOG.info(
                    "setting_changed",
                    "setting",
                    setting.environmentVariable(),
                    "from",
                    before.text(setting),
                    "to",
                    after.text(setting));
        }
        for (Setting setting : after.differencesFrom(newer)) {
            LOG.warn("setting_needs_restart", "setting", setting.environmentVariable());
        }
        mSettings = after;
    }

    private void recordLeaving(Target target, CallMetrics metrics) {
        if (mControl.clusterView().recordLeaving(target)) {
            metrics.recordTargetLeaving();
            LOG.info("target_leaving", "target", target.id(), "cause", "own_word");
        }
    }

    private static void onDelayedTaskFailed(Throwable error) {
        ExhaustedMemory.endIfExhausted(error);
        LOG.error("delayed_task_failed", error);
    }

    private static Member describeSelf(Settings settings, Clock clock) {
        InetSocketAddress peers = settings.endpoint(Setting.PEER_ADDRESS);
        return new Member(
                settings.vm(),
                clock.millis(),
                settings.zone(),
                callerAddress(settings),
                peers.getHostString(),
                peers.getPort(),
                MemberState.STARTING,
                0,
                0,
                settings.decimal(Setting.PROCESSOR_SHARE)
                        * settings.decimal(Setting.PROCESSOR_CORES));
    }

    private static RegionRule regionRule(Settings settings, HostedPlatform platform) {
        String table = settings.text(Setting.ZONES);
        Map<Zone, String> regions = platform.zoneRegions(table);
        if (regions.isEmpty() && !table.isBlank()) {
            LOG.warn("zone_regions_not_decoded", "zones", table);
        }
        return new RegionRule(regions);
    }

    private static String callerAddress(Settings settings) {
        InetSocketAddress callers = settings.endpoint(Setting.CALLER_ADDRESS);
        return callers.getHostString() + ":" + callers.getPort();
    }

    private CompletableFuture<RateGrant> reserveRate(String workspace, RateRequest request) {
        return CompletableFuture.supplyAsync(
                () ->
                        mControl.clusterView()
                                .routing()
                                .flatMap(table -> table.workspace(workspace))
                                .map(found -> mRates.reserve(found, request))
                                .orElse(RateGrant.NONE),
                mTraffic);
    }

    private MetricSet gauges() {
        return () ->
                Map.of(
                        "configuration_version",
                        gauge(
                                () ->
                                        mControl.clusterView()
                                                .routing()
                                                .map(RoutingTable::version)
                                                .orElse(0L)),
                        "quarantined_requests",
                        gauge(() -> mControl.crashRecords().table().quarantinedDigests().size()),
                        "configuration_age_millis",
                        gauge(() -> mControl.configurationAge().ageMillis()),
                        "members_living",
                        gauge(() -> mControl.clusterView().fleet().members().size()),
                        "targets_listed",
                        gauge(() -> mControl.clusterView().targets().all().size()),
                        "targets_usable",
                        gauge(() -> mControl.clusterView().targets().usableCount()),
                        "buffered_bytes",
                        gauge(mMemory::usedBytes),
                        "buffered_bytes_peak",
                        gauge(mMemory::peakBytes),
                        "buffered_bytes_refused",
                        gauge(mMemory::refusedCount));
    }

    private MetricSet zoneGauges() {
        return () ->
                Map.of(
                        "zones_evacuated",
                        gauge(() -> mControl.clusterView().evacuatedZones().size()),
                        "requests_in_evacuated_zones",
                        gauge(() -> mPools.inFlight(mControl.clusterView().evacuatedZones())),
                        "targets_cold",
                        gauge(() -> mControl.coldTargets().count()));
    }

    private MetricSet closedConnectionGauges() {
        return () ->
                Map.of(
                        "callers_closed_for_memory",
                        gauge(() -> mClosedConnections.count(Cause.MEMORY)),
                        "callers_closed_for_connections",
                        gauge(() -> mClosedConnections.count(Cause.CONNECTIONS)),
                        "callers_closed_for_timeout",
                        gauge(() -> mClosedConnections.count(Cause.TIMEOUT)),
                        "peer_handshakes_closed",
                        gauge(mControl::closedHandshakes));
    }

    private static <T> Gauge<T> gauge(Gauge<T> gauge) {
        return gauge;
    }

    /**
     * Opens all ports.
     *
     * @throws org.heathercourse.core.error.HeathercourseException of kind INVALID_SETTING if an
     *     address cannot be bound
     */
    public void start() {
        openEndpoint(Setting.READINESS_ADDRESS, this::respondReadiness);
        openEndpoint(Setting.DIRECTORY_ADDRESS, this::respondAddresses);
        openEndpoint(Setting.METRICS_ADDRESS, this::respondMetrics);
        mCallerServer.open(mSettings.endpoint(Setting.CALLER_ADDRESS), mTrafficGroup);
        mTraffic.scheduleWithFixedDelay(
                this::runHousekeeping,
                HOUSEKEEPING_PERIOD_MILLIS,
                HOUSEKEEPING_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
        LOG.info("gateway_started", "vm", mSettings.vm(), "zone", mSettings.zone());
    }

    private void openEndpoint(Setting address, Function<String, Response> responder) {
        EndpointServer.open(
                mSettings.endpoint(address),
                mTrafficGroup,
                new EndpointServer.Limits(
                        mConnectionLimits.endpoint(), mMemory, mClosedConnections),
                responder);
    }

    private void runHousekeeping() {
        mPools.retainAll(mControl.clusterView().targets());
        mControl.clusterView().routing().ifPresent(table -> mRates.refresh(table.workspaces()));
    }

    // Endpoints of the gateway itself

    private boolean isReady() {
        return !mDrainSchedule.isLeaving()
                && mControl.state() == MemberState.READY
                && mControl.configurationAge().isYoungerThan(maxConfigurationAgeMillis());
    }

    private Response respondReadiness(String uri) {
        if (!mEntryFormat.isReadinessCheck(uri)) {
            return Response.empty(NOT_FOUND);
        }
        return Response.empty(isReady() ? OK : UNAVAILABLE);
    }

    private Response respondAddresses(String uri) {
        var query = mEntryFormat.parseAddressQuery(uri);
        if (query.isEmpty()) {
            return Response.empty(NOT_FOUND);
        }
        Zone zone = query.get().zone().isEmpty() ? mSettings.zone() : new Zone(query.get().zone());
        List<String> addresses =
                withoutLeaving(
                        mControl.clusterView()
                                .fleet()
                                .recommendedAddresses(
                                        zone,
                                        MAX_ADDRESSES,
                                        mTrafficRandom,
                                        mSettings.vm(),
                                        mControl.recentContacts()::isConfirmed));
        if (addresses.isEmpty()
                || !mControl.configurationAge().isYoungerThan(maxConfigurationAgeMillis())) {
            return Response.empty(UNAVAILABLE);
        }
        long keepSeconds = (long) mSettings.decimal(Setting.ADDRESS_KEEP_SECONDS);
        return Response.json(mEntryFormat.encodeAddresses(addresses, keepSeconds));
    }

    /** Leaves out this gateway once it leaves, if callers can use others. */
    private List<String> withoutLeaving(List<String> addresses) {
        if (!mDrainSchedule.isLeaving() || addresses.size() < 2) {
            return addresses;
        }
        String own = callerAddress(mSettings);
        return addresses.stream().filter(address -> !address.equals(own)).toList();
    }

    private Response respondMetrics(String uri) {
        byte[] text = PrometheusText.write(mMetrics).getBytes(StandardCharsets.UTF_8);
        return new Response(OK, "text/plain; version=0.0.4", text);
    }

    // Stop

    /**
     * Directs callers to other gateways; requests that still arrive are served, later only if they
     * end before the process exits.
     *
     * @param signalMillis ticker time at which the stop signal was received
     * @return times of the stop
     */
    public DrainSchedule leave(long signalMillis) {
        DrainSchedule schedule = GatewayDrain.schedule(signalMillis, mSettings);
        mDrainSchedule = schedule;
        mControl.leave();
        mTraffic.execute(mCallerServer::leave);
        LOG.info("gateway_leaving", "running", activeCallCount());
        return schedule;
    }

    /**
     * Returns whether a request is being read, a call is active or a response is being written;
     * blocks until the traffic loop has replied.
     */
    public boolean isBusy() {
        return CompletableFuture.supplyAsync(mCallerServer::isBusy, mTraffic).join();
    }

    /** Returns the number of active calls; blocks until the traffic loop has replied. */
    public int activeCallCount() {
        return CompletableFuture.supplyAsync(mCallerServer::activeCallCount, mTraffic).join();
    }

    /**
     * Stops listening and waits until all responses are written. Calls that are still active after
     * the timeout are answered with an error, if no response has begun. Then waits briefly until
     * the unused budget tokens are returned.
     *
     * @param timeoutMillis maximum time to wait for the responses, in milliseconds
     * @return whether all responses were written within the timeout
     */
    public boolean stop(long timeoutMillis) {
        CompletableFuture<Void> drained =
                CompletableFuture.supplyAsync(mCallerServer::close, mTraffic)
                        .thenCompose(closed -> closed);
        boolean quiet = await(drained, timeoutMillis);
        int interruptedCalls =
                CompletableFuture.supplyAsync(mCallerServer::endCallsForExit, mTraffic).join();
        if (!quiet) {
            await(drained, FINAL_RESPONSE_MILLIS);
        }
        boolean tokensReturned =
                await(
                        mControl.returnRemainingTokens(),
                        GatewayDrain.maxTokenReturnMillis(leavingMillis(), mSettings));
        LOG.info(
                "gateway_stopped",
                "quiet",
                quiet,
                "tokensReturned",
                tokensReturned,
                "leavingMillis",
                leavingMillis(),
                "running",
                interruptedCalls);
        return quiet;
    }

    private long leavingMillis() {
        return mDrainSchedule.millisSinceStart(mTicker.readMillis());
    }

    /** Returns whether the future has completed within the timeout. */
    private static boolean await(CompletableFuture<?> future, long timeoutMillis) {
        try {
            future.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    /**
     * Closes the peer links and ends the event loops. Waits for the end of their threads, at most
     * {@link #CLOSE_MILLIS}: at its exit the Java process waits 300 ms for threads that are in a
     * system call, as an event loop mostly is, and the stop grace period may end before.
     */
    public void close() {
        close(CLOSE_MILLIS);
    }

    /**
     * Does the same as {@link #close()}, with another limit.
     *
     * @param timeoutMillis maximum time to wait for the threads, in milliseconds
     */
    void close(long timeoutMillis) {
        mControl.close();
        mTrafficGroup.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS);
        mControlGroup.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS);
        try {
            mLoopThreads.awaitEnd(timeoutMillis).forEach(this::logRunning);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void logRunning(Thread thread) {
        LOG.warn(
                "event_loop_still_runs",
                "thread",
                thread.getName(),
                "state",
                thread.getState(),
                "trafficEnded",
                mTrafficGroup.isTerminated(),
                "controlEnded",
                mControlGroup.isTerminated());
    }
}
