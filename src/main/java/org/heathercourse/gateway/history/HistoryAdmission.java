package org.heathercourse.gateway.history;

import java.util.concurrent.CompletableFuture;

/** Decides whether a gateway has the memory for a history before the history is read. */
@FunctionalInterface
public interface HistoryAdmission {
    /**
     * Asks for the memory of a history; called once for a read that finds the turn.
     *
     * @param historyBytes size of the history in bytes
     * @return whether the history may be read; completes on any thread
     */
    CompletableFuture<Boolean> admit(long historyBytes);
}
