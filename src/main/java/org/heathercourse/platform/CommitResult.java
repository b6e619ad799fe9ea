package org.heathercourse.platform;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param committed whether the transaction took effect
 * @param rows if committed, the rows written, without content; otherwise the current state of the
 *     rows whose condition did not hold (rows that do not exist are left out)
 */
public record CommitResult(boolean committed, List<Row> rows) {
    /** Copies the list of rows. */
    public CommitResult {
        rows = List.copyOf(rows);
    }
}
