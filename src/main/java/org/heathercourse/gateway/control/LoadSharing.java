package org.heathercourse.gateway.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.load.LoadBoard;
import org.heathercourse.core.load.LoadBoard.Source;
import org.heathercourse.core.load.SharedLoad;
import org.heathercourse.core.load.SpeedTable;
import org.heathercourse.core.load.TargetWork;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.SuspendAwareClock.Timestamp;
import org.heathercourse.daemon.peer.PeerMessage.LoadReply;
import org.heathercourse.daemon.peer.PeerMessage.LoadReport;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;

/**
 * Reports the work of this gateway to the load owner of its zone and keeps its reply. The load
 * owners of all zones exchange their sums.
 *
 * <p>Sends nothing while load is not shared, or while neither this gateway nor its zone has or had
 * work since the last message. Runs on the control thread; methods that say so are safe for use by
 * other threads.
 */
public final class LoadSharing {
    /** Time in milliseconds between two reports. */
    private static final long REPORT_PERIOD_MILLIS = 400;

    /** Timeout in milliseconds of a report, so that one at most is in flight. */
    private static final long REPORT_TIMEOUT_MILLIS = 350;

    /** Key of the owner selection. */
    private static final String OWNER_KEY = "load";

    private static final EventLog LOG = EventLog.of(LoadSharing.class);

    private final ClusterView mClusterView;
    private final Member mSelf;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mClock;
    private final LoadBoard mBoard;
    private final AtomicLong mSentReports = new AtomicLong();
    private final AtomicLong mFailedReports = new AtomicLong();
    private volatile LoadSharingMode mMode = LoadSharingMode.OFF;
    private volatile SharedLoad mShared;
    private volatile int mBoardReports;
    private RoutingTable mCheckedRouting;
    private volatile boolean mEnabled;
    private Supplier<CompletableFuture<Map<String, TargetWork>>> mOwnWork =
            () -> CompletableFuture.completedFuture(Map.of());
    private PeerNetwork mPeers;
    private boolean mHadWork;
    private boolean mZoneHadWork;
    private boolean mOwnerSilent;

    LoadSharing(
            ClusterView clusterView,
            Member self,
            ScheduledExecutorService control,
            SuspendAwareClock clock) {
        mClusterView = clusterView;
        mSelf = self;
        mControl = control;
        mClock = clock;
        mBoard = new LoadBoard(clock);
    }

    /**
     * Sets when load is shared and where this gateway's work is known. Must be called before the
     * control plane starts.
     *
     * @param mode when load is shared
     * @param ownWork returns the work of this gateway by incarnation of the target
     */
    public void configure(
            LoadSharingMode mode, Supplier<CompletableFuture<Map<String, TargetWork>>> ownWork) {
        mOwnWork = ownWork;
        mMode = mode;
    }

    void start(PeerNetwork peers) {
        mPeers = peers;
        peers.onRequest(LoadReport.class, this::onReport);
        if (mMode != LoadSharingMode.OFF) {
            schedule();
        }
    }

    private void schedule() {
        mControl.schedule(
                () -> {
                    try {
                        run();
                    } finally {
                        schedule();
                    }
                },
                REPORT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns whether load is shared under the configuration in force. Safe for other threads. */
    public boolean isEnabled() {
        return mEnabled;
    }

    /**
     * Returns the last reply of the load owner; null if there is none or load is not shared. Safe
     * for use by other threads.
     */
    public SharedLoad shared() {
        return mEnabled ? mShared : null;
    }

    /** Returns the age of the last reply in milliseconds; -1 if there is none. Thread-safe. */
    public long ageMillis() {
        SharedLoad shared = mShared;
        return shared == null ? -1 : shared.currentAgeMillis(mClock);
    }

    /** Returns the metrics of the exchange. Safe for use by other threads. */
    public MetricSet metrics() {
        Gauge<Long> age = this::ageMillis;
        Gauge<Long> sent = mSentReports::get;
        Gauge<Long> failed = mFailedReports::get;
        Gauge<Integer> board = () -> mBoardReports;
        return () ->
                Map.of(
                        "load_age_millis",
                        age,
                        "load_reports_sent",
                        sent,
                        "load_reports_failed",
                        failed,
                        "load_board_reports",
                        board);
    }

    /** Returns the number of reports that got no reply. Thread-safe. */
    long failedReports() {
        return mFailedReports.get();
    }

    /** Reports the work of this gateway, and of its zone if it is the owner. */
    private void run() {
        checkEnabled();
        if (!mEnabled) {
            return;
        }
        mOwnWork.get()
                .thenAcceptAsync(this::report, mControl)
                .exceptionally(
                        error -> {
                            LOG.error("load_not_reported", error);
                            return null;
                        });
        exchangeWithZones();
        mBoardReports = mBoard.reportCount();
    }

    private void checkEnabled() {
        RoutingTable routing = mClusterView.routing().orElse(null);
        if (routing != mCheckedRouting) {
            mCheckedRouting = routing;
            boolean enabled = routing != null && mMode.isEnabled(routing);
            if (enabled != mEnabled) {
                LOG.info("load_sharing", "enabled", enabled);
            }
            mEnabled = enabled;
        }
    }

    private Optional<Member> owner(Zone zone) {
        return mClusterView.fleet().budgetOwner(OWNER_KEY, zone);
    }

    private boolean isSelf(Member member) {
        return member.vm().equals(mSelf.vm());
    }

    private void report(Map<String, TargetWork> own) {
        boolean hasWork = own.values().stream().anyMatch(work -> work.requests() > 0);
        if (!hasWork && !mHadWork) {
            return;
        }
        mHadWork = hasWork;
        Optional<Member> owner = owner(mSelf.zone());
        if (owner.isEmpty()) {
            return;
        }
        LoadReport report = LoadCodec.report(mSelf.vm().value(), mSelf.incarnation(), false, own);
        Timestamp requested = mClock.now();
        send(owner.get(), report)
                .whenCompleteAsync(
                        (reply, error) -> onReply(owner.get(), own, requested, reply, error),
                        mControl);
    }

    private CompletableFuture<LoadReply> send(Member to, LoadReport report) {
        if (isSelf(to)) {
            return CompletableFuture.completedFuture(record(report));
        }
        mSentReports.incrementAndGet();
        return mPeers.request(PeerAddress.of(to), report, LoadReply.class, REPORT_TIMEOUT_MILLIS);
    }

    private void onReply(
            Member owner,
            Map<String, TargetWork> own,
            Timestamp requested,
            LoadReply reply,
            Throwable error) {
        if ((error != null) != mOwnerSilent) {
            mOwnerSilent = error != null;
            LOG.info(
                    mOwnerSilent ? "load_owner_silent" : "load_owner_replies",
                    "owner",
                    owner.vm(),
                    "reason",
                    error == null ? "" : error.getMessage());
        }
        if (error != null) {
            mFailedReports.incrementAndGet();
            return;
        }
        Map<String, TargetWork> others = LoadCodec.work(reply.targets(), reply.values());
        Map<String, TargetWork> all = new HashMap<>(others);
        own.forEach((target, work) -> all.merge(target, work, TargetWork::plus));
        mShared =
                new SharedLoad(
                        others,
                        SpeedTable.of(all, services()::get),
                        requested,
                        reply.ageMillis(),
                        reply.collectingMillis());
    }

    /** Returns the services by incarnation of their targets. */
    private Map<String, String> services() {
        Map<String, String> services = new HashMap<>();
        for (Target target : mClusterView.targets().all()) {
            services.put(target.incarnation(), target.service());
        }
        return services;
    }

    /** Sends the sum of the zone to the owners of later zones; their replies have their sums. */
    private void exchangeWithZones() {
        Zone zone = mSelf.zone();
        if (owner(zone).filter(this::isSelf).isEmpty()) {
            return;
        }
        LoadBoard.Sum sum = mBoard.zoneSum();
        if (sum.work().isEmpty() && !mZoneHadWork) {
            return;
        }
        mZoneHadWork = !sum.work().isEmpty();
        LoadReport report = LoadCodec.report(zone.value(), 0, true, sum.work());
        for (String other : laterZones(mClusterView.fleet(), zone)) {
            owner(new Zone(other))
                    .filter(owner -> !isSelf(owner))
                    .ifPresent(owner -> exchange(owner, other, report));
        }
    }

    private static TreeSet<String> laterZones(Fleet fleet, Zone zone) {
        TreeSet<String> zones = new TreeSet<>();
        fleet.members().forEach(member -> zones.add(member.zone().value()));
        return new TreeSet<>(zones.tailSet(zone.value(), false));
    }

    private void exchange(Member owner, String otherZone, LoadReport report) {
        send(owner, report)
                .whenCompleteAsync(
                        (reply, error) -> {
                            if (error != null) {
                                mFailedReports.incrementAndGet();
                                return;
                            }
                            mBoard.record(
                                    Source.ZONE,
                                    otherZone,
                                    0,
                                    LoadCodec.work(reply.targets(), reply.values()));
                        },
                        mControl);
    }

    private CompletionStage<LoadReply> onReport(LoadReport report) {
        return CompletableFuture.supplyAsync(() -> record(report), mControl);
    }

    private LoadReply record(LoadReport report) {
        Map<String, TargetWork> work = LoadCodec.work(report.targets(), report.values());
        if (report.zoneSum()) {
            mBoard.record(Source.ZONE, report.from(), report.incarnation(), work);
            return LoadCodec.reply(mBoard.zoneSum());
        }
        mBoard.record(Source.GATEWAY, report.from(), report.incarnation(), work);
        return LoadCodec.reply(mBoard.sumOfOthers(report.from()));
    }
}
