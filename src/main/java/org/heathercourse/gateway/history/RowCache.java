package org.heathercourse.gateway.history;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.history.TurnRow;

/**
 * The rows used last, bounded in bytes. Rows never change apart from the end of their retention,
 * which only grows. Safe for use by several threads.
 */
final class RowCache {
    /** Maximum size of all rows in bytes; the heap of a gateway is 72 MB. */
    static final long MAX_BYTES = 1024 * 1024;

    /** Maximum size of a row in bytes; one long input must not displace all other rows. */
    private static final long MAX_ROW_BYTES = MAX_BYTES / 8;

    /** Size in bytes of the objects of a row or base, apart from its content. */
    private static final long OVERHEAD_BYTES = 250;

    private final Map<String, TurnRow> mRows = new LinkedHashMap<>(16, 0.75f, true);
    private long mBytes;

    synchronized Optional<TurnRow> get(String key) {
        return Optional.ofNullable(mRows.get(key));
    }

    synchronized void put(String key, TurnRow row) {
        TurnRow previous = mRows.remove(key);
        if (previous != null) {
            mBytes -= sizeBytes(previous);
        }
        if (sizeBytes(row) > MAX_ROW_BYTES) {
            return;
        }
        mRows.put(key, row);
        mBytes += sizeBytes(row);
        Iterator<TurnRow> leastRecentlyUsed = mRows.values().iterator();
        while (mBytes > MAX_BYTES) {
            mBytes -= sizeBytes(leastRecentlyUsed.next());
            leastRecentlyUsed.remove();
        }
    }

    synchronized long sizeBytes() {
        return mBytes;
    }

    private static long sizeBytes(TurnRow row) {
        return row.segment().length + OVERHEAD_BYTES * (1 + row.bases().size());
    }
}
