package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.target.ColdTargets;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetTracker;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/** Keeps the list of targets in the {@link ClusterView} current. Confined to the control thread. */
final class TargetFollower implements TableFollower.Listener {
    /** Time in milliseconds between two checks for expired targets after an outage. */
    private static final long EXPIRY_CHECK_PERIOD_MILLIS = 250;

    private static final long MAX_WAIT_MILLIS = 1_000;
    private static final EventLog LOG = EventLog.of(TargetFollower.class);

    private final DeclaredRows mRows;
    private final ClusterView mClusterView;
    private final ColdTargets mColdTargets;
    private final TargetTracker mTracker;
    private final TableFollower mFollower;
    private final ScheduledExecutorService mControl;

    TargetFollower(
            DeclaredRows rows,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView,
            ColdTargets coldTargets) {
        mRows = rows;
        mClusterView = clusterView;
        mColdTargets = coldTargets;
        mControl = control;
        mTracker = new TargetTracker(ticker);
        mFollower =
                new TableFollower(
                        rows.targetTable(), MAX_WAIT_MILLIS, store, control, ticker, this);
    }

    void start() {
        mFollower.start();
    }

    ReadFreshness freshness() {
        return mFollower.freshness();
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        List<Target> targets = new ArrayList<>();
        for (StoredRow row : rows) {
            decode(row).ifPresent(targets::add);
        }
        mTracker.replaceAll(targets);
        publish("all");
    }

    /**
     * Decodes a row; one that fails must not keep the other rows of the read from being applied.
     */
    private Optional<Target> decode(StoredRow row) {
        try {
            Optional<Target> target = mRows.target(row);
            target.ifPresent(found -> recordCold(found, row));
            return target;
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("target_row_not_decoded", e, "key", row.key().key());
            return Optional.empty();
        }
    }

    private void recordCold(Target target, StoredRow row) {
        if (mColdTargets.recordRow(target, row.version())) {
            LOG.info(
                    "target_cold",
                    "target",
                    target.id(),
                    "remainingMillis",
                    target.coldRemainingMillis(),
                    "cause",
                    "row");
        }
    }

    @Override
    public void onChanges(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            Optional<Target> target = row.exists() ? decode(row) : Optional.empty();
            if (target.isPresent()) {
                mTracker.put(target.get());
            } else {
                mTracker.remove(row.key().key());
            }
        }
        publish("changes");
    }

    @Override
    public void onReadSucceeded(long sinceLastReadMillis) {
        if (sinceLastReadMillis >= TargetTracker.MIN_OUTAGE_MILLIS + MAX_WAIT_MILLIS) {
            mTracker.onOutageEnded();
            scheduleExpiry();
        }
    }

    private void scheduleExpiry() {
        mControl.schedule(
                () -> {
                    List<Target> expired = mTracker.expire();
                    if (!expired.isEmpty()) {
                        publish("missing");
                    }
                    if (mTracker.hasPendingRemovals()) {
                        scheduleExpiry();
                    }
                },
                EXPIRY_CHECK_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void publish(String cause) {
        var before = mClusterView.targets();
        var after = mClusterView.setTargets(mTracker.list());
        for (Target target : after.all()) {
            if (after.isUsable(target) && !before.isUsable(target)) {
                LOG.info(
                        "target_usable",
                        "target",
                        target.id(),
                        "service",
                        target.service(),
                        "address",
                        target.address(),
                        "zone",
                        target.zone(),
                        "cause",
                        cause);
            }
        }
        for (Target target : before.all()) {
            if (before.isUsable(target) && !after.isUsable(target)) {
                String state = after.contains(target) ? "leaving" : "gone";
                LOG.info("target_" + state, "target", target.id(), "cause", cause);
            }
        }
    }
}
