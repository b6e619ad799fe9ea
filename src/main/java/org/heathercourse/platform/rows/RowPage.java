package org.heathercourse.platform.rows;

import java.util.List;

/**
 * Rows as of one moment.
 *
 * @param rows the rows; after a read for changes, rows that were removed do not exist
 * @param hasMore whether further rows follow the last one
 * @param storeVersion version from which changes can be read on
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long storeVersion) {
    /** Copies the rows. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
