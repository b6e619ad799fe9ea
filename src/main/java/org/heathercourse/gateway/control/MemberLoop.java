package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.Liveness;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.limits.RateFractions;
import org.heathercourse.core.limits.ShareEpoch;
import org.heathercourse.core.limits.ShareTable;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Writes this gateway's heartbeat, reads those of the others and the rate shares, and writes the
 * next shares when it is this gateway's turn. Confined to the control thread.
 */
final class MemberLoop {
    /** Shortest time between two heartbeats in milliseconds. */
    private static final long LEAST_PERIOD_MILLIS = 1_500;

    /** Time in milliseconds by which each member stretches the period, which bounds the writes. */
    private static final double PERIOD_PER_MEMBER_MILLIS = 12.5;

    /** Pause in milliseconds before a heartbeat that failed is repeated. */
    private static final long RETRY_MILLIS = 300;

    /** Time without a heartbeat in milliseconds after which the row of a gateway is removed. */
    private static final long REMOVE_MILLIS = 60_000;

    /** Time in milliseconds between two reads that confirm the shares. */
    private static final long CONFIRM_PERIOD_MILLIS = 1_500;

    private static final int MAX_REMOVALS = 50;
    private static final String TABLE = "member";
    private static final String VM_PREFIX = "vm/";
    private static final RowKey SHARES = new RowKey(TABLE, "", "shares");
    private static final EventLog LOG = EventLog.of(MemberLoop.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mTicker;
    private final ClusterView mClusterView;
    private final RateFractions mShares;
    private final Supplier<MemberState> mState;
    private final Liveness mLiveness;
    private Member mSelf;
    private long mSharesVersion;
    private boolean mHealthy = true;
    private boolean mStopped;

    /**
     * Creates a loop that has not started.
     *
     * @param self this gateway, with heartbeat 0
     * @param state what this gateway says of itself
     */
    MemberLoop(
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView,
            RateFractions shares,
            Member self,
            Supplier<MemberState> state) {
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mClusterView = clusterView;
        mShares = shares;
        mSelf = self;
        mState = state;
        mLiveness = new Liveness(ticker);
    }

    void start() {
        mControl.execute(this::beat);
    }

    /** Writes a heartbeat at once, so that others learn of a change of state. */
    CompletableFuture<RowCommit> announce() {
        return CompletableFuture.supplyAsync(this::writeSelf, mControl).thenCompose(done -> done);
    }

    void stop() {
        mStopped = true;
    }

    /** Returns this gateway as its latest row describes it. */
    Member self() {
        return mSelf;
    }

    // Heartbeat

    private void beat() {
        if (mStopped) {
            return;
        }
        writeSelf()
                .thenComposeAsync(committed -> readAll(), mControl)
                .whenCompleteAsync(this::finished, mControl);
    }

    private CompletableFuture<RowCommit> writeSelf() {
        mSelf = mSelf.withHeartbeat(mState.get(), periodMillis());
        RowKey key = new RowKey(TABLE, "", VM_PREFIX + mSelf.vm().value());
        byte[] value = JsonRows.encode(mSelf);
        return mStore.commit(RowTransaction.put(key, RowTransaction.ANY_VERSION, value));
    }

    private long periodMillis() {
        int members = mClusterView.fleet().members().size();
        return Math.max(LEAST_PERIOD_MILLIS, (long) (PERIOD_PER_MEMBER_MILLIS * members));
    }

    private CompletableFuture<Void> readAll() {
        return readFrom("", new ArrayList<>(), mTicker.now());
    }

    private CompletableFuture<Void> readFrom(
            String fromKey, List<StoredRow> before, SuspendAwareClock.Timestamp started) {
        return mStore.read(TABLE, "", fromKey)
                .thenComposeAsync(page -> onPage(before, started, page), mControl);
    }

    private CompletableFuture<Void> onPage(
            List<StoredRow> before, SuspendAwareClock.Timestamp started, RowPage page) {
        before.addAll(page.rows());
        if (page.hasMore() && !page.rows().isEmpty()) {
            String lastKey = page.rows().get(page.rows().size() - 1).key().key();
            return readFrom(lastKey + '\0', before, started);
        }
        apply(before, started);
        return CompletableFuture.completedFuture(null);
    }

    private void finished(Void result, Throwable error) {
        if (error != null && mHealthy) {
            LOG.warn("heartbeat_lost", "reason", error.getMessage());
        } else if (error == null && !mHealthy) {
            LOG.info("heartbeat_regained");
        }
        mHealthy = error == null;
        long pauseMillis = mHealthy ? periodMillis() : RETRY_MILLIS;
        mControl.schedule(this::beat, pauseMillis, TimeUnit.MILLISECONDS);
        if (mHealthy) {
            confirmUntil(mTicker.now(), pauseMillis);
        }
    }

    /** Reads the shares alone between heartbeats that are far apart, as in a large fleet. */
    private void confirmUntil(SuspendAwareClock.Timestamp beaten, long pauseMillis) {
        if (pauseMillis - mTicker.millisSince(beaten) <= CONFIRM_PERIOD_MILLIS || mStopped) {
            return;
        }
        mControl.schedule(
                () -> {
                    confirmShares();
                    confirmUntil(beaten, pauseMillis);
                },
                CONFIRM_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void confirmShares() {
        SuspendAwareClock.Timestamp started = mTicker.now();
        mStore.read(SHARES)
                .thenAcceptAsync(
                        row ->
                                JsonRows.decode(row, ShareEpoch.class)
                                        .ifPresent(present -> mShares.onRead(present, started)),
                        mControl)
                .exceptionally(
                        error -> {
                            LOG.info("shares_not_confirmed", "reason", error.getMessage());
                            return null;
                        });
    }

    // Members and shares as read

    private void apply(List<StoredRow> rows, SuspendAwareClock.Timestamp started) {
        List<Member> members = new ArrayList<>();
        Optional<ShareEpoch> epoch = Optional.empty();
        for (StoredRow row : rows) {
            if (row.key().equals(SHARES)) {
                epoch = JsonRows.decode(row, ShareEpoch.class);
                mSharesVersion = row.version();
            } else if (row.key().key().startsWith(VM_PREFIX)) {
                JsonRows.decode(row, Member.class).ifPresent(members::add);
            }
        }
        Fleet before = mClusterView.fleet();
        Fleet fleet = mLiveness.update(members);
        mClusterView.setFleet(fleet);
        logChanges(before, fleet);
        if (myTurn(fleet)) {
            removeSilent(rows);
        }
        epoch.ifPresent(present -> mShares.onRead(present, started));
        boolean settled = mShares.epoch() != null || mSelf.heartbeat() > 1;
        if (settled && mShares.nextEpochDue() && myTurn(fleet)) {
            writeShares(fleet);
        }
    }

    private void removeSilent(List<StoredRow> rows) {
        RowTransaction.Builder removals = RowTransaction.builder();
        for (StoredRow row : rows) {
            String key = row.key().key();
            if (key.startsWith(VM_PREFIX)) {
                VmId vm = new VmId(key.substring(VM_PREFIX.length()));
                if (removals.size() < MAX_REMOVALS
                        && mLiveness.heartbeatUnchangedFor(vm, REMOVE_MILLIS)) {
                    removals.remove(row.key(), row.version());
                }
            }
        }
        if (removals.size() > 0) {
            mStore.commit(removals.build())
                    .whenComplete(
                            (commit, error) ->
                                    LOG.info(
                                            "silent_members_removed",
                                            "count",
                                            removals.size(),
                                            "done",
                                            error == null && commit.committed()));
        }
    }

    private void logChanges(Fleet before, Fleet now) {
        for (Member member : now.members()) {
            Optional<Member> earlier = before.member(member.vm());
            boolean same =
                    earlier.isPresent()
                            && earlier.get().incarnation() == member.incarnation()
                            && earlier.get().state() == member.state();
            if (!same) {
                LOG.info("member", "vm", member.vm(), "state", member.state());
            }
        }
        for (Member member : before.members()) {
            if (now.member(member.vm()).isEmpty()) {
                LOG.info("member_dead", "vm", member.vm(), "heartbeat", member.heartbeat());
            }
        }
    }

    /** The first living member writes; conditions in the store settle differing views. */
    private boolean myTurn(Fleet fleet) {
        return fleet.members().stream()
                .filter(member -> member.state() != MemberState.LEAVING)
                .findFirst()
                .filter(first -> first.vm().equals(mSelf.vm()))
                .isPresent();
    }

    private void writeShares(Fleet fleet) {
        ShareTable table =
                new ShareTable(fleet.members().stream().map(m -> m.vm().value()).toList());
        ShareEpoch present = mShares.epoch();
        if (present != null && !present.current().membersDifferFrom(table)) {
            return;
        }
        ShareEpoch next = present == null ? ShareEpoch.first(table) : present.next(table);
        mStore.commit(RowTransaction.put(SHARES, mSharesVersion, JsonRows.encode(next)))
                .whenCompleteAsync(
                        (commit, error) -> {
                            boolean written = error == null && commit.committed();
                            LOG.info(
                                    "shares_written",
                                    "epoch",
                                    next.number(),
                                    "members",
                                    table.members().size(),
                                    "committed",
                                    written);
                        },
                        mControl);
    }
}
