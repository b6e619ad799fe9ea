package org.heathercourse.platform.rows;

import java.util.concurrent.CompletableFuture;

/**
 * A store of versioned rows.
 *
 * <p>Calls do not block; futures fail with a {@link org.heathercourse.platform.StoreException} if
 * the store does not answer. Implementations are safe for use by several threads.
 */
public interface RowStore {
    /**
     * Reads rows of a part in the order of their keys.
     *
     * @param table the table
     * @param part the part
     * @param fromKey first key; empty for the beginning
     * @return the rows, which may be the first of several pages
     */
    CompletableFuture<RowPage> read(String table, String part, String fromKey);

    /**
     * Reads one row.
     *
     * @param key place of the row
     * @return the row, which may not exist
     */
    CompletableFuture<StoredRow> read(RowKey key);

    /**
     * Reads what has changed in a table; waits until something has.
     *
     * @param table the table
     * @param afterVersion version as of the last read
     * @param waitMillis longest wait in milliseconds; the page is empty if nothing changed
     * @return the changed rows; fails with {@link ChangesExpiredException} if they are not kept
     */
    CompletableFuture<RowPage> changes(String table, long afterVersion, long waitMillis);

    /**
     * Runs a transaction.
     *
     * @param transaction the writes
     * @return whether it took effect; after a failure that says {@code outcomeUnknown} it may have
     *     taken effect, or may do so later if its conditions still hold
     */
    CompletableFuture<RowCommit> commit(RowTransaction transaction);
}
