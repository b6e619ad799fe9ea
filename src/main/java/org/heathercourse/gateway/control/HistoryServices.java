package org.heathercourse.gateway.control;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.gateway.history.HistorySweeper;
import org.heathercourse.gateway.history.StoreTurnHistory;
import org.heathercourse.gateway.history.TurnHistory;
import org.heathercourse.platform.rows.RowStore;

/**
 * The histories of turns in the store, and the removal of those whose retention has passed. The
 * histories are safe for use by several threads; the removal runs on the control thread.
 *
 * <p>Life cycle: create, {@link #startRemoval}, {@link #close}.
 */
final class HistoryServices implements AutoCloseable {
    private final TurnHistory mHistory;
    private final HistorySweeper mSweeper;

    /**
     * Creates the histories without reading any.
     *
     * @param options clock, metrics and limits
     * @param store the store
     * @param control the control thread
     * @param clock measures waits
     * @param random source of random numbers
     * @param clusterView latest configuration and gateways
     * @param self name of this gateway's VM
     */
    HistoryServices(
            HistoryOptions options,
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock clock,
            RandomGenerator random,
            ClusterView clusterView,
            String self) {
        mHistory =
                new StoreTurnHistory(
                        store,
                        control,
                        clock,
                        options.wallClock(),
                        options.metrics(),
                        options.maxHistoryBytes(),
                        random);
        mSweeper =
                new HistorySweeper(
                        store,
                        control,
                        options.wallClock(),
                        options.metrics(),
                        self,
                        () -> memberNames(clusterView, self),
                        () ->
                                clusterView
                                        .routing()
                                        .filter(RoutingTable::retainsHistories)
                                        .isPresent());
    }

    /** Returns the names of the live gateways; this one is live before its first heartbeat. */
    private static List<String> memberNames(ClusterView clusterView, String self) {
        return Stream.concat(
                        clusterView.fleet().members().stream().map(member -> member.vm().value()),
                        Stream.of(self))
                .distinct()
                .toList();
    }

    TurnHistory history() {
        return mHistory;
    }

    /** Starts to remove histories; called once the other gateways are known. */
    void startRemoval() {
        mSweeper.start();
    }

    /** Stops the removal; the loop of the control thread may have ended. */
    @Override
    public void close() {
        mSweeper.close();
    }
}
