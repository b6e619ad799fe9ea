package org.heathercourse.gateway.control;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Keeps the newest configuration in force. The version never goes back. Confined to the control
 * thread.
 */
final class ConfigurationFollower implements TableFollower.Listener {
    /** Short, because keys are honoured only as long as the configuration is young. */
    private static final long WAIT_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(ConfigurationFollower.class);

    private final DeclaredRows mRows;
    private final ClusterView mClusterView;
    private final TableFollower mFollower;

    ConfigurationFollower(
            DeclaredRows rows,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock ticker,
            ClusterView clusterView) {
        mRows = rows;
        mClusterView = clusterView;
        String table = rows.configurationRow().table();
        mFollower = new TableFollower(table, WAIT_MILLIS, store, control, ticker, this);
    }

    void start() {
        mFollower.start();
    }

    ReadFreshness freshness() {
        return mFollower.freshness();
    }

    @Override
    public void onAll(List<StoredRow> rows) {
        onChanges(rows);
    }

    @Override
    public void onChanges(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.exists() && row.key().equals(mRows.configurationRow())) {
                apply(mRows.routingTable(row));
            }
        }
    }

    private void apply(RoutingTable table) {
        long before = mClusterView.routing().map(RoutingTable::version).orElse(-1L);
        if (table.version() <= before) {
            return;
        }
        mClusterView.setRouting(table);
        LOG.info(
                "configuration_in_force",
                "version",
                table.version(),
                "before",
                before,
                "workspaces",
                table.workspaces().size(),
                "services",
                table.services().size());
    }

    @Override
    public void onRegained(long gapMillis) {
        // Nothing lapses: the row is the operator's and stays.
    }
}
