package org.heathercourse.gateway.history;

import java.nio.ByteBuffer;
import java.util.List;
import org.heathercourse.core.history.History;
import org.heathercourse.core.history.TurnRow;

/**
 * A history read from the store. Immutable and safe for use by several threads.
 *
 * @param key key of the turn's row
 * @param row the turn's row
 * @param baseSegments segments of the row's bases, in their order
 */
record StoredHistory(String key, TurnRow row, List<byte[]> baseSegments) implements History {
    /** Copies the list. */
    StoredHistory {
        baseSegments = List.copyOf(baseSegments);
    }

    @Override
    public byte[] body() {
        ByteBuffer body = ByteBuffer.allocate((int) sizeBytes());
        baseSegments.forEach(body::put);
        return body.put(row.segment()).array();
    }

    @Override
    public long sizeBytes() {
        return baseSegments.stream().mapToLong(segment -> segment.length).sum()
                + row.segment().length;
    }
}
