package org.heathercourse.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.MetricSet;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
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
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.limits.RateGrant;
import org.heathercourse.core.limits.RateRequest;
import org.heathercourse.core.limits.WorkspaceRates;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.call.CallDependencies;
import org.heathercourse.gateway.call.CallMetrics;
import org.heathercourse.gateway.control.ControlPlane;
import org.heathercourse.gateway.http.CallerServer;
import org.heathercourse.gateway.http.EndpointServer;
import org.heathercourse.gateway.http.EndpointServer.Response;
import org.heathercourse.gateway.target.TargetPools;
import org.heathercourse.log.EventLog;
import org.heathercourse.metrics.PrometheusText;
import org.heathercourse.platform.entry.EntryFormat;
import org.heathercourse.platform.entry.HostedPlatform;

/**
 * The gateway of one VM: a control thread that keeps what is known, and a thread that carries
 * traffic.
 *
 * <p>Life cycle: create, {@link #start}, {@link #leave}, {@link #stop}.
 */
public final class Gateway {
    /**
     * Time in milliseconds by which keys lapse before the bound. Covers a read for changes that
     * overlooks one for up to a second, and the way of a request.
     */
    private static final long KEY_MARGIN_MILLIS = 1_300;

    /** Most addresses in an answer to a caller. */
    private static final int MAX_ADDRESSES = 64;

    /** Time in milliseconds between two looks at the traffic loop's housekeeping. */
    private static final long HOUSEKEEPING_MILLIS = 500;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final EventLog LOG = EventLog.of(Gateway.class);

    private final Settings mSettings;
    private final EntryFormat mFormat;
    private final EventLoopGroup mControlGroup = loop("control");
    private final EventLoopGroup mTrafficGroup = loop("traffic");
    private final EventLoop mTraffic = mTrafficGroup.next();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ControlPlane mControl;
    private final WorkspaceRates mRates;
    private final TargetPools mPools;
    private final CallerServer mCallers;

    /** For the traffic loop. */
    private final RandomGenerator mRandom;

    private final long mMaxConfigurationAgeMillis;
    private volatile boolean mLeaving;

    /**
     * Creates a gateway that has not started.
     *
     * @param settings its settings
     * @param platform names and formats
     * @param ticker steady time
     * @param clock time of day
     * @param random source of random numbers that cannot be predicted
     */
    public Gateway(
            Settings settings,
            HostedPlatform platform,
            Ticker ticker,
            Clock clock,
            RandomGenerator random) {
        mSettings = settings;
        mFormat = platform.entryFormat();
        mRandom = new SplittableRandom(random.nextLong());
        mMaxConfigurationAgeMillis =
                (long) settings.decimal(Setting.KEY_WITHDRAWAL_MS) - KEY_MARGIN_MILLIS;
        mControl =
                new ControlPlane(
                        self(settings, clock),
                        settings.endpoint(Setting.STORE_ADDRESS),
                        platform,
                        mControlGroup,
                        ticker,
                        new SuspendAwareClock(ticker, clock),
                        random,
                        this::reserveRate);
        CallMetrics callMetrics = new CallMetrics(mMetrics);
        mRates = new WorkspaceRates(mControl.shares(), ticker);
        mPools = new TargetPools(mTraffic, ticker, platform.callFormat(), callMetrics);
        Zone zone = settings.zone();
        mControl.start();
        CallDependencies services =
                new CallDependencies(
                        mTraffic,
                        ticker,
                        zone,
                        mControl.clusterView(),
                        mControl.configurationAge(),
                        mMaxConfigurationAgeMillis,
                        platform.callFormat(),
                        mRates,
                        mControl.rates(),
                        mControl.budgets(),
                        mPools,
                        new TargetSelector(zone, mRandom),
                        mRandom,
                        callMetrics);
        mCallers = new CallerServer(services);
        mMetrics.registerAll(gauges());
    }

    private static EventLoopGroup loop(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private static Member self(Settings settings, Clock clock) {
        InetSocketAddress callers = settings.endpoint(Setting.CALLER_ADDRESS);
        InetSocketAddress peers = settings.endpoint(Setting.PEER_ADDRESS);
        return new Member(
                settings.vm(),
                clock.millis(),
                settings.zone(),
                callers.getHostString() + ":" + callers.getPort(),
                peers.getHostString(),
                peers.getPort(),
                MemberState.STARTING,
                0,
                0);
    }

    private CompletableFuture<RateGrant> reserveRate(String workspace, RateRequest ask) {
        return CompletableFuture.supplyAsync(
                () ->
                        mControl.clusterView()
                                .routing()
                                .flatMap(table -> table.workspace(workspace))
                                .map(found -> mRates.reserve(found, ask))
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
                        "configuration_age_millis",
                        gauge(() -> mControl.configurationAge().ageMillis()),
                        "members_living",
                        gauge(() -> mControl.clusterView().fleet().members().size()),
                        "targets_listed",
                        gauge(() -> mControl.clusterView().targets().all().size()));
    }

    private static <T> Gauge<T> gauge(Gauge<T> gauge) {
        return gauge;
    }

    /** Opens all ports. */
    public void start() {
        EndpointServer.open(
                mSettings.endpoint(Setting.READINESS_ADDRESS), mTrafficGroup, this::readiness);
        EndpointServer.open(
                mSettings.endpoint(Setting.DIRECTORY_ADDRESS), mTrafficGroup, this::addresses);
        EndpointServer.open(
                mSettings.endpoint(Setting.METRICS_ADDRESS), mTrafficGroup, this::metrics);
        mCallers.open(mSettings.endpoint(Setting.CALLER_ADDRESS), mTrafficGroup);
        mTraffic.scheduleWithFixedDelay(
                this::housekeeping,
                HOUSEKEEPING_MILLIS,
                HOUSEKEEPING_MILLIS,
                TimeUnit.MILLISECONDS);
        LOG.info("gateway_started", "vm", mSettings.vm(), "zone", mSettings.zone());
    }

    private void housekeeping() {
        mPools.retainAll(mControl.clusterView().targets());
        mControl.clusterView().routing().ifPresent(table -> mRates.refresh(table.workspaces()));
    }

    // Questions that the gateway answers itself

    private boolean serving() {
        return !mLeaving
                && mControl.state() == MemberState.READY
                && mControl.configurationAge().isYoungerThan(mMaxConfigurationAgeMillis);
    }

    private Response readiness(String uri) {
        if (!mFormat.isReadinessCheck(uri)) {
            return Response.empty(NOT_FOUND);
        }
        return Response.empty(serving() ? OK : UNAVAILABLE);
    }

    private Response addresses(String uri) {
        var question = mFormat.parseAddressQuery(uri);
        if (question.isEmpty()) {
            return Response.empty(NOT_FOUND);
        }
        Zone zone =
                question.get().zone().isEmpty()
                        ? mSettings.zone()
                        : new Zone(question.get().zone());
        List<String> advised =
                mControl.clusterView().fleet().recommendedAddresses(zone, MAX_ADDRESSES, mRandom);
        if (advised.isEmpty()
                || !mControl.configurationAge().isYoungerThan(mMaxConfigurationAgeMillis)) {
            return Response.empty(UNAVAILABLE);
        }
        long keepSeconds = (long) mSettings.decimal(Setting.ADDRESS_KEEP_SECONDS);
        return Response.json(mFormat.encodeAddresses(advised, keepSeconds));
    }

    private Response metrics(String uri) {
        byte[] text = PrometheusText.write(mMetrics).getBytes(StandardCharsets.UTF_8);
        return new Response(OK, "text/plain; version=0.0.4", text);
    }

    // Stop

    /** Sends callers elsewhere; those that still come are served. */
    public void leave() {
        mLeaving = true;
        mControl.leave();
        mTraffic.execute(mCallers::leave);
        LOG.info("gateway_leaving");
    }

    /** Returns the calls that run now. */
    public int activeCallCount() {
        return CompletableFuture.supplyAsync(mCallers::activeCallCount, mTraffic).join();
    }

    /**
     * Stops listening and waits for the calls that run.
     *
     * @param waitMillis longest time to wait, in milliseconds
     * @return whether all have ended
     */
    public boolean stop(long waitMillis) {
        boolean quiet;
        try {
            CompletableFuture.supplyAsync(mCallers::close, mTraffic)
                    .thenCompose(closed -> closed)
                    .get(waitMillis, TimeUnit.MILLISECONDS);
            quiet = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            quiet = false;
        } catch (ExecutionException | TimeoutException e) {
            quiet = false;
        }
        mControl.returnRemainingTokens();
        LOG.info("gateway_stopped", "quiet", quiet, "running", activeCallCount());
        return quiet;
    }

    /** Ends what goes on after a stop. */
    public void close() {
        mControl.close();
        mTrafficGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        mControlGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
