package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetTracker;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/** Keeps the list of targets. Confined to the control thread. */
final class TargetFollower implements TableFollower.Listener {
    /** Time in milliseconds between two looks for rows that have been missing for too long. */
    private static final long EXPIRE_MILLIS = 250;

    private static final long WAIT_MILLIS = 1_000;
    private static final EventLog LOG = EventLog.of(TargetFollower.class);

    private final DeclaredRows mRows;
    private final ClusterView mClusterView;
    private final TargetTracker mTracker;
    private final TableFollower mFollower;
    private final ScheduledExecutorService mControl;

    TargetFollower(
            DeclaredRows rows,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView) {
        mRows = rows;
        mClusterView = clusterView;
        mControl = control;
        mTracker = new TargetTracker(ticker);
        mFollower =
                new TableFollower(rows.targetTable(), WAIT_MILLIS, store, control, ticker, this);
    }

    void start() {
        mFollower.start();
    }

    ReadFreshness freshness() {
        return mFollower.freshness();
    }

    @Override
    public void onAll(List<StoredRow> rows) {
        List<Target> targets = new ArrayList<>();
        for (StoredRow row : rows) {
            mRows.target(row).ifPresent(targets::add);
        }
        mTracker.replaceAll(targets);
        publish("all");
    }

    @Override
    public void onChanges(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            Optional<Target> target = row.exists() ? mRows.target(row) : Optional.empty();
            if (target.isPresent()) {
                mTracker.put(target.get());
            } else {
                mTracker.remove(row.key().key());
            }
        }
        publish("changes");
    }

    @Override
    public void onRegained(long gapMillis) {
        if (gapMillis >= TargetTracker.MIN_OUTAGE_MILLIS + WAIT_MILLIS) {
            mTracker.onOutageEnded();
            expireLater();
        }
    }

    private void expireLater() {
        mControl.schedule(
                () -> {
                    List<Target> gone = mTracker.expire();
                    if (!gone.isEmpty()) {
                        publish("missing");
                    }
                    if (mTracker.hasPendingRemovals()) {
                        expireLater();
                    }
                },
                EXPIRE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void publish(String cause) {
        var before = mClusterView.targets();
        var now = mTracker.list();
        mClusterView.setTargets(now);
        for (Target target : now.all()) {
            if (now.isUsable(target) && !before.isUsable(target)) {
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
            if (before.isUsable(target) && !now.isUsable(target)) {
                String state = now.contains(target) ? "leaving" : "gone";
                LOG.info("target_" + state, "target", target.id(), "cause", cause);
            }
        }
    }
}
