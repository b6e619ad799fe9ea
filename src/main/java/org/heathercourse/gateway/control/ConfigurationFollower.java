package org.heathercourse.gateway.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.routing.AccessChange;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.ColdTargets;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Keeps the configuration and the evacuated zones in the {@link ClusterView} current, whose rows
 * are in one table. The configuration's version never decreases. Confined to the control thread.
 */
final class ConfigurationFollower implements TableFollower.Listener {
    /**
     * Maximum time in milliseconds for which the store holds a read. Short, because keys are
     * accepted only while the configuration is recent.
     */
    private static final long MAX_WAIT_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(ConfigurationFollower.class);

    private final DeclaredRows mRows;
    private final ClusterView mClusterView;
    private final EvacuationListener mEvacuations;
    private final TableFollower mFollower;

    ConfigurationFollower(
            DeclaredRows rows,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView,
            ColdTargets coldTargets) {
        mRows = rows;
        mClusterView = clusterView;
        mEvacuations = new EvacuationListener(rows, clusterView, coldTargets);
        String table = rows.configurationRow().table();
        mFollower = new TableFollower(table, MAX_WAIT_MILLIS, store, control, ticker, this);
    }

    void start() {
        mFollower.start();
    }

    ReadFreshness freshness() {
        return mFollower.freshness();
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        // Before the configuration, without which no request is sent to a target.
        mEvacuations.onSnapshot(rows);
        applyConfiguration(rows);
    }

    @Override
    public void onChanges(List<StoredRow> rows) {
        mEvacuations.onChanges(rows);
        applyConfiguration(rows);
    }

    private void applyConfiguration(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.exists() && row.key().equals(mRows.configurationRow())) {
                decode(row).ifPresent(this::apply);
            }
        }
    }

    /** Decodes the configuration; if it is invalid, the previous one stays in force. */
    private Optional<RoutingTable> decode(StoredRow row) {
        try {
            return Optional.of(mRows.routingTable(row));
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("configuration_not_decoded", e, "rowVersion", row.version());
            return Optional.empty();
        }
    }

    private void apply(RoutingTable table) {
        Optional<RoutingTable> previous = mClusterView.routing();
        long previousVersion = previous.map(RoutingTable::version).orElse(-1L);
        if (table.version() <= previousVersion) {
            return;
        }
        mClusterView.setRouting(table);
        LOG.info(
                "configuration_in_force",
                "version",
                table.version(),
                "before",
                previousVersion,
                "workspaces",
                table.workspaces().size(),
                "services",
                table.services().size());
        if (!table.problems().isEmpty()) {
            LOG.warn(
                    "configuration_partly_unreadable",
                    "version",
                    table.version(),
                    "count",
                    table.problems().size(),
                    "first",
                    table.problems().get(0));
        }
        previous.ifPresent(before -> logAccess(AccessChange.between(before, table), table));
    }

    private static void logAccess(AccessChange change, RoutingTable table) {
        if (change.lastKeyRemoved()) {
            LOG.warn("no_key_left", "version", table.version());
        }
        if (!change.openedRoutes().isEmpty()) {
            LOG.warn(
                    "routes_opened",
                    "version",
                    table.version(),
                    "count",
                    change.openedRoutes().size(),
                    "first",
                    change.openedRoutes().get(0));
        }
    }

    @Override
    public void onReadSucceeded(long sinceLastReadMillis) {
        // Nothing expires: only the operator removes rows of this table.
    }
}
