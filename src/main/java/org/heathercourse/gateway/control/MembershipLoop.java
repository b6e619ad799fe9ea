package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.Liveness;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberReadPolicy;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.limits.RateFractions;
import org.heathercourse.core.limits.ShareEpoch;
import org.heathercourse.core.limits.ShareTable;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Maintains the membership of the gateways: writes this gateway's heartbeat, reads the heartbeats
 * of the others, the rate shares and the record of crashes, and as leader writes the next shares
 * and removes dead members. Confined to the control thread.
 */
final class MembershipLoop {
    /** Minimum time between two heartbeats in milliseconds. */
    private static final long MIN_PERIOD_MILLIS = 1_500;

    /**
     * Heartbeat period in milliseconds per member, which bounds the rate of writes to the store.
     */
    private static final double PERIOD_PER_MEMBER_MILLIS = 12.5;

    /** Delay in milliseconds before a failed heartbeat is retried. */
    private static final long RETRY_DELAY_MILLIS = 300;

    /** Time without a heartbeat in milliseconds after which a gateway's row is removed. */
    private static final long ROW_REMOVAL_MILLIS = 60_000;

    /** Maximum time in milliseconds between two reads of the shares and of the crashes. */
    private static final long MAX_READ_PERIOD_MILLIS = 1_500;

    private static final int MAX_REMOVALS = 50;
    private static final String TABLE = "member";
    private static final String VM_PREFIX = "vm/";
    private static final RowKey SHARES = new RowKey(TABLE, "", "shares");
    private static final EventLog LOG = EventLog.of(MembershipLoop.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mTicker;
    private final ClusterView mClusterView;
    private final RateFractions mRateFractions;
    private final CrashRecordService mCrashRecords;
    private final Supplier<MemberState> mStateSupplier;
    private final Liveness mLiveness;
    private final MemberReadPolicy mReadPolicy;
    private Member mSelf;
    private long mSharesVersion;
    private boolean mHealthy = true;
    private boolean mStopped;

    /**
     * Creates a loop that has not started.
     *
     * @param self this gateway, with heartbeat 0
     * @param stateSupplier current state of this gateway
     */
    MembershipLoop(
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView,
            RateFractions rateFractions,
            CrashRecordService crashRecords,
            Member self,
            Supplier<MemberState> stateSupplier) {
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mClusterView = clusterView;
        mRateFractions = rateFractions;
        mCrashRecords = crashRecords;
        mSelf = self;
        mStateSupplier = stateSupplier;
        mLiveness = new Liveness(ticker);
        mReadPolicy = new MemberReadPolicy(self.vm());
    }

    void start() {
        mControl.execute(this::runHeartbeat);
    }

    /** Writes a heartbeat immediately, which publishes a change of state. */
    CompletableFuture<RowCommit> writeHeartbeatNow() {
        return CompletableFuture.supplyAsync(this::writeSelf, mControl).thenCompose(done -> done);
    }

    void stop() {
        mStopped = true;
    }

    /** Returns this gateway as in its latest heartbeat. */
    Member self() {
        return mSelf;
    }

    // Heartbeat

    private void runHeartbeat() {
        if (mStopped) {
            return;
        }
        writeSelf()
                .thenComposeAsync(committed -> readAfterHeartbeat(), mControl)
                // A task of its own: an error in it is logged, whereas a future would keep it.
                .whenComplete(
                        (done, error) -> mControl.execute(() -> onHeartbeatEnded(done, error)));
    }

    private CompletableFuture<RowCommit> writeSelf() {
        mSelf = mSelf.withHeartbeat(mStateSupplier.get(), periodMillis());
        RowKey key = new RowKey(TABLE, "", VM_PREFIX + mSelf.vm().value());
        byte[] value = JsonRowCodec.encode(sharesByCapacity() ? mSelf : mSelf.withoutCapacity());
        return mStore.commit(RowTransaction.put(key, RowTransaction.ANY_VERSION, value));
    }

    /** Returns whether callers are divided by processor time, as the configuration implies. */
    private boolean sharesByCapacity() {
        return mClusterView.routing().map(RoutingTable::retainsHistories).orElse(false);
    }

    private long periodMillis() {
        int members = mClusterView.fleet().members().size();
        return Math.max(MIN_PERIOD_MILLIS, (long) (PERIOD_PER_MEMBER_MILLIS * members));
    }

    private CompletableFuture<Void> readAfterHeartbeat() {
        return mReadPolicy.readsNow(mClusterView.fleet()) ? readAll() : readSharesAndCrashes();
    }

    private CompletableFuture<Void> readAll() {
        return readFrom("", new ArrayList<>(), mTicker.now());
    }

    private CompletableFuture<Void> readFrom(
            String fromKey, List<StoredRow> rows, SuspendAwareClock.Timestamp readStart) {
        return mStore.read(TABLE, "", fromKey)
                .thenComposeAsync(page -> onPage(rows, readStart, page), mControl);
    }

    private CompletableFuture<Void> onPage(
            List<StoredRow> rows, SuspendAwareClock.Timestamp readStart, RowPage page) {
        rows.addAll(page.rows());
        if (page.hasMore() && !page.rows().isEmpty()) {
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            return readFrom(lastKey + '\0', rows, readStart);
        }
        apply(rows, readStart);
        return CompletableFuture.completedFuture(null);
    }

    private void onHeartbeatEnded(Void result, Throwable error) {
        if (error != null && mHealthy) {
            LOG.warn("heartbeat_lost", "reason", error.getMessage());
        } else if (error == null && !mHealthy) {
            LOG.info("heartbeat_regained");
        }
        mHealthy = error == null;
        long delayMillis = mHealthy ? periodMillis() : RETRY_DELAY_MILLIS;
        mControl.schedule(this::runHeartbeat, delayMillis, TimeUnit.MILLISECONDS);
        if (mHealthy) {
            scheduleReads(mTicker.now(), delayMillis);
        }
    }

    /**
     * Schedules reads of the shares and crashes alone until the next heartbeat, if the period is
     * long as in a large fleet.
     */
    private void scheduleReads(SuspendAwareClock.Timestamp heartbeatTimestamp, long delayMillis) {
        if (delayMillis - mTicker.millisSince(heartbeatTimestamp) <= MAX_READ_PERIOD_MILLIS
                || mStopped) {
            return;
        }
        mControl.schedule(
                () -> {
                    readSharesAndCrashes();
                    scheduleReads(heartbeatTimestamp, delayMillis);
                },
                MAX_READ_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Void> readSharesAndCrashes() {
        return CompletableFuture.allOf(readShares(), readCrashes());
    }

    /** Reads the crashes, of which every gateway must learn within 2 s, however large the fleet. */
    private CompletableFuture<Void> readCrashes() {
        return mStore.read(CrashRecordService.ROW)
                .thenAcceptAsync(mCrashRecords::onRow, mControl)
                .exceptionally(
                        error -> {
                            LOG.info("crashes_read_failed", "reason", error.getMessage());
                            return null;
                        });
    }

    private CompletableFuture<Void> readShares() {
        SuspendAwareClock.Timestamp readStart = mTicker.now();
        return mStore.read(SHARES)
                .thenAcceptAsync(
                        row ->
                                JsonRowCodec.decode(row, ShareEpoch.class)
                                        .ifPresent(
                                                present ->
                                                        mRateFractions.onRead(present, readStart)),
                        mControl)
                .exceptionally(
                        error -> {
                            LOG.info("shares_read_failed", "reason", error.getMessage());
                            return null;
                        });
    }

    // Members and shares

    private void apply(List<StoredRow> rows, SuspendAwareClock.Timestamp readStart) {
        List<Member> members = new ArrayList<>();
        Optional<ShareEpoch> epoch = Optional.empty();
        for (StoredRow row : rows) {
            if (row.key().equals(SHARES)) {
                epoch = JsonRowCodec.decode(row, ShareEpoch.class);
                mSharesVersion = row.version();
            } else if (row.key().equals(CrashRecordService.ROW)) {
                mCrashRecords.onRow(row);
            } else if (row.key().key().startsWith(VM_PREFIX)) {
                JsonRowCodec.decode(row, Member.class).ifPresent(members::add);
            }
        }
        Fleet before = mClusterView.fleet();
        Fleet fleet = mLiveness.update(members, mReadPolicy.heartbeatsSinceRead());
        mClusterView.setFleet(fleet);
        mReadPolicy.onRead(fleet.differsFrom(before));
        logMemberChanges(before, fleet);
        if (isLeader(fleet)) {
            removeDeadMembers(rows);
        }
        epoch.ifPresent(present -> mRateFractions.onRead(present, readStart));
        boolean canWriteShares = mRateFractions.epoch() != null || mSelf.heartbeat() > 1;
        if (canWriteShares && mRateFractions.nextEpochDue() && isLeader(fleet)) {
            writeShares(fleet);
        }
    }

    private void removeDeadMembers(List<StoredRow> rows) {
        RowTransaction.Builder removals = RowTransaction.builder();
        for (StoredRow row : rows) {
            String key = row.key().key();
            if (key.startsWith(VM_PREFIX)) {
                VmId vm = new VmId(key.substring(VM_PREFIX.length()));
                if (removals.size() < MAX_REMOVALS
                        && mLiveness.heartbeatUnchangedFor(vm, ROW_REMOVAL_MILLIS)) {
                    removals.remove(row.key(), row.version());
                }
            }
        }
        if (removals.size() > 0) {
            mStore.commit(removals.build())
                    .whenComplete(
                            (commit, error) ->
                                    LOG.info(
                                            "dead_members_removed",
                                            "count",
                                            removals.size(),
                                            "committed",
                                            error == null && commit.committed()));
        }
    }

    /** Logs one line for each state, as a whole fleet that starts changes in a few reads. */
    private void logMemberChanges(Fleet before, Fleet after) {
        Map<MemberState, List<VmId>> changed = new EnumMap<>(MemberState.class);
        for (Member member : after.members()) {
            if (!member.isSameProcessAndState(before.member(member.vm()).orElse(null))) {
                changed.computeIfAbsent(member.state(), s -> new ArrayList<>()).add(member.vm());
            }
        }
        changed.forEach((state, vms) -> LOG.info("member", "state", state, "vms", vms));
        for (Member member : before.members()) {
            if (after.member(member.vm()).isEmpty()) {
                LOG.info("member_dead", "vm", member.vm(), "heartbeat", member.heartbeat());
            }
        }
    }

    /**
     * Returns whether this gateway is the leader: the first live member that is not leaving.
     * Conditional writes in the store resolve differing views.
     */
    private boolean isLeader(Fleet fleet) {
        return fleet.leaderOrder().stream()
                .findFirst()
                .filter(first -> first.vm().equals(mSelf.vm()))
                .isPresent();
    }

    private void writeShares(Fleet fleet) {
        ShareTable table =
                new ShareTable(fleet.rateOwners().stream().map(m -> m.vm().value()).toList());
        ShareEpoch epoch = mRateFractions.epoch();
        if (epoch != null && !epoch.current().membersDifferFrom(table)) {
            return;
        }
        ShareEpoch nextEpoch = epoch == null ? ShareEpoch.first(table) : epoch.next(table);
        mStore.commit(RowTransaction.put(SHARES, mSharesVersion, JsonRowCodec.encode(nextEpoch)))
                .whenCompleteAsync(
                        (commit, error) -> {
                            boolean isCommitted = error == null && commit.committed();
                            LOG.info(
                                    "shares_written",
                                    "epoch",
                                    nextEpoch.number(),
                                    "members",
                                    table.members().size(),
                                    "committed",
                                    isCommitted);
                        },
                        mControl);
    }
}
