package org.heathercourse.gateway.history;

import java.time.Clock;
import java.util.Collection;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.heathercourse.platform.rows.RowStore;

/** Removes the rows of turns whose retention has passed. Confined to the control thread. */
public final class HistorySweeper implements AutoCloseable {
    /**
     * Creates a sweeper that has not started.
     *
     * @param store the store
     * @param control the control thread
     * @param wallClock clock of the ends of retentions
     * @param metrics metrics of histories
     * @param self name of this gateway among the members
     * @param members returns the names of the live members, including this gateway
     * @param isEnabled returns whether some route retains histories now
     */
    public HistorySweeper(
            RowStore store,
            ScheduledExecutorService control,
            Clock wallClock,
            HistoryMetrics metrics,
            String self,
            Supplier<? extends Collection<String>> members,
            BooleanSupplier isEnabled) {}

    /** Starts the periodic visits. */
    public void start() {}

    @Override
    public void close() {}
}
