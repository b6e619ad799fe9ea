package org.heathercourse.gateway.history;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.heathercourse.core.history.History;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowStore;

/** Histories of turns in rows of the store. Safe for use by several threads. */
public final class StoreTurnHistory implements TurnHistory {
    /**
     * Creates the storage.
     *
     * @param store the store
     * @param control thread for continuations and retries
     * @param clock measures waits
     * @param wallClock clock of the ends of retentions
     * @param metrics metrics of histories
     * @param maxHistoryBytes maximum size of a history in bytes
     * @param random source of the ids of writers
     */
    public StoreTurnHistory(
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock clock,
            Clock wallClock,
            HistoryMetrics metrics,
            long maxHistoryBytes,
            RandomGenerator random) {}

    @Override
    public CompletableFuture<Optional<History>> read(String workspace, String turnId) {
        return CompletableFuture.failedFuture(
                StoreException.unavailable("histories are not read yet", null));
    }

    @Override
    public CompletableFuture<Void> append(
            String workspace,
            String turnId,
            History parent,
            byte[] input,
            byte[] output,
            long retentionMillis,
            long maxWaitMillis) {
        return CompletableFuture.failedFuture(
                StoreException.unavailable("histories are not written yet", null));
    }

    @Override
    public boolean isAvailable() {
        return false;
    }
}
