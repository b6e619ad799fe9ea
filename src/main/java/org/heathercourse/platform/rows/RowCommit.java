package org.heathercourse.platform.rows;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param committed whether it took effect
 * @param version if committed, the version of all rows that it wrote
 * @param currentRows if not committed, the rows under a condition as they are now
 */
public record RowCommit(boolean committed, long version, List<StoredRow> currentRows) {
    /** Copies the rows. */
    public RowCommit {
        currentRows = List.copyOf(currentRows);
    }
}
