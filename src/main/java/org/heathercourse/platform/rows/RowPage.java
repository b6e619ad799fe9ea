package org.heathercourse.platform.rows;

import java.util.List;

/**
 * A page of rows, read as of one version of the store.
 *
 * @param rows the rows; in a page of changes, removed rows are present and do not {@linkplain
 *     StoredRow#exists() exist}
 * @param hasMore whether further rows follow the last one
 * @param storeVersion version of the store as of the read; the next read of changes starts after it
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long storeVersion) {
    /** Copies the rows. */
    public RowPage {
        rows = List.copyOf(rows);
    }
}
