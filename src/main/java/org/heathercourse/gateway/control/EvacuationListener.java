package org.heathercourse.gateway.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.ColdTargets;
import org.heathercourse.core.target.EvacuationTracker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Keeps the evacuated zones in the {@link ClusterView} current from the rows of the configuration's
 * table. Confined to the control thread.
 */
final class EvacuationListener {
    private static final EventLog LOG = EventLog.of(EvacuationListener.class);

    private final DeclaredRows mRows;
    private final ClusterView mClusterView;
    private final ColdTargets mColdTargets;
    private final EvacuationTracker mTracker = new EvacuationTracker();

    EvacuationListener(DeclaredRows rows, ClusterView clusterView, ColdTargets coldTargets) {
        mRows = rows;
        mClusterView = clusterView;
        mColdTargets = coldTargets;
    }

    /** Applies all rows of the table; a zone without a row is not evacuated. */
    void onSnapshot(List<StoredRow> rows) {
        Set<Zone> declared = new HashSet<>();
        Set<Zone> unreadable = new HashSet<>();
        for (StoredRow row : rows) {
            Optional<Zone> zone = mRows.evacuatedZone(row.key());
            if (zone.isPresent() && row.exists()) {
                (isReadable(row) ? declared : unreadable).add(zone.get());
            }
        }
        mTracker.replaceAll(declared, unreadable);
        publish();
    }

    /** Applies changed rows of the table. */
    void onChanges(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            Optional<Zone> zone = mRows.evacuatedZone(row.key());
            if (zone.isEmpty()) {
                continue;
            }
            if (!row.exists()) {
                mTracker.remove(zone.get());
            } else if (isReadable(row)) {
                mTracker.put(zone.get());
            }
        }
        publish();
    }

    private boolean isReadable(StoredRow row) {
        try {
            if (mRows.isEvacuation(row)) {
                return true;
            }
            LOG.warn("evacuation_not_decoded", "key", row.key().key(), "version", row.version());
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("evacuation_not_decoded", e, "key", row.key().key());
        }
        return false;
    }

    private void publish() {
        Set<Zone> before = mClusterView.evacuatedZones();
        Set<Zone> after = mTracker.zones();
        if (before.equals(after)) {
            return;
        }
        // Before the targets become usable.
        before.stream().filter(z -> !after.contains(z)).forEach(mColdTargets::recordEvacuationEnd);
        mClusterView.setEvacuatedZones(after);
        logDifference("zone_evacuated", before, after);
        logDifference("zone_evacuation_ended", after, before);
    }

    private void logDifference(String event, Set<Zone> without, Set<Zone> with) {
        for (Zone zone : with) {
            if (!without.contains(zone)) {
                long targets =
                        mClusterView.targets().all().stream()
                                .filter(target -> target.zone().equals(zone))
                                .count();
                LOG.info(event, "zone", zone, "targets", targets);
            }
        }
    }
}
