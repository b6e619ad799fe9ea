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
     * Reads a page of the rows of a part in the order of their keys.
     *
     * @param table the table
     * @param part the part
     * @param fromKey key to start from, inclusive; empty for the first page
     * @return the rows; {@link RowPage#hasMore()} tells whether another page follows
     */
    CompletableFuture<RowPage> read(String table, String part, String fromKey);

    /**
     * Reads one row.
     *
     * @param key key of the row
     * @return the row; check {@link StoredRow#exists()}
     */
    CompletableFuture<StoredRow> read(RowKey key);

    /**
     * Reads the rows of a table that changed after a version. The future completes when there is a
     * change or the wait ends.
     *
     * @param table the table
     * @param afterVersion version as of the last read
     * @param waitMillis maximum wait in milliseconds; the page is empty if nothing changed
     * @return the changed rows; fails with {@link ChangesExpiredException} if the store no longer
     *     holds the changes
     */
    CompletableFuture<RowPage> changes(String table, long afterVersion, long waitMillis);

    /**
     * Runs a transaction.
     *
     * @param transaction the writes
     * @return the result; after a failure with {@code outcomeUnknown} the transaction may have
     *     taken effect, or may do so later if its conditions still hold
     */
    CompletableFuture<RowCommit> commit(RowTransaction transaction);
}
