package org.heathercourse.gateway.history;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.history.History;

/**
 * Durable histories of turns. Implementations are safe for use by several threads; futures may
 * complete on any of them.
 */
public interface TurnHistory {
    /**
     * Reads the history up to and including a turn.
     *
     * @param workspace workspace of the caller; empty on routes open to all
     * @param turnId request id of the turn
     * @param admission asked before more than the turn's own row is read
     * @return the history; empty if it is certain that the workspace has no such turn; fails with a
     *     {@link org.heathercourse.platform.StoreException} if it is not certain, and with a {@link
     *     HistoryNotAdmittedException} if the history was not admitted
     */
    CompletableFuture<Optional<History>> read(
            String workspace, String turnId, HistoryAdmission admission);

    /**
     * Makes a turn durable, so that other turns can continue it.
     *
     * @param workspace workspace of the caller; empty on routes open to all
     * @param turnId request id of the turn
     * @param parent history that the turn continues, as {@link #read} returned it; null if the turn
     *     is the first of its chain
     * @param input input of the turn
     * @param output data of the turn's events, each followed by a line feed
     * @param retentionMillis time for which the turn and its chain are kept, in milliseconds
     * @param maxWaitMillis maximum time in milliseconds for which the write is repeated
     * @return completes when the store has acknowledged the turn; fails if that is not certain. To
     *     cancel it gives up the write if it has not begun
     */
    CompletableFuture<Void> append(
            String workspace,
            String turnId,
            History parent,
            byte[] input,
            byte[] output,
            long retentionMillis,
            long maxWaitMillis);

    /** Returns whether the store replied recently, so that the end of a new turn can be kept. */
    boolean isAvailable();
}
