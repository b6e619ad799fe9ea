package org.heathercourse.platform.rows;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param committed whether the transaction took effect
 * @param version if committed, the version of all rows that the transaction wrote; otherwise 0
 * @param currentRows if not committed, the current state of the rows that have a condition
 */
public record RowCommit(boolean committed, long version, List<StoredRow> currentRows) {
    /** Copies the rows. */
    public RowCommit {
        currentRows = List.copyOf(currentRows);
    }
}
