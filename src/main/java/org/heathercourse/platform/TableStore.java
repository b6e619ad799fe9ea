package org.heathercourse.platform;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block. Implementations are safe for use by several threads.
 */
public interface TableStore {
    /**
     * Reads a row.
     *
     * @param key key of the row
     * @return the row, or empty if it does not exist
     * @throws StoreException if the service does not answer
     */
    Optional<Row> read(String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param prefix prefix of the keys
     * @param afterKey only keys greater than this one; empty for the first page
     * @param limit maximum number of rows to return
     * @return the rows
     * @throws StoreException if the service does not answer
     */
    List<Row> scan(String prefix, String afterKey, int limit);

    /**
     * Runs a transaction.
     *
     * @param transaction the writes and their conditions
     * @return whether it took effect
     * @throws StoreException if the service does not answer; {@link
     *     StoreException#outcomeUnknown()} tells whether the transaction may have taken effect
     */
    CommitResult commit(Transaction transaction);
}
