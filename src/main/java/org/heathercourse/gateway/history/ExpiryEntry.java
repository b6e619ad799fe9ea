package org.heathercourse.gateway.history;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Content of an expiry entry: which rows to remove. Immutable.
 *
 * @param turnKey key of the turn
 * @param writer writer of the turn's row
 * @param firstIndex index of the first continuation
 * @param count number of continuations; 0 if the entry is that of the turn's own row
 */
record ExpiryEntry(String turnKey, long writer, int firstIndex, int count) {
    private static final int HEADER_BYTES = Long.BYTES + 2 * Integer.BYTES;

    static ExpiryEntry ofTurn(String turnKey, long writer) {
        return new ExpiryEntry(turnKey, writer, 0, 0);
    }

    boolean isOfTurn() {
        return count == 0;
    }

    byte[] encode() {
        byte[] key = turnKey.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(HEADER_BYTES + key.length)
                .putLong(writer)
                .putInt(firstIndex)
                .putInt(count)
                .put(key)
                .array();
    }

    /** Decodes an entry; empty if it is not one. */
    static Optional<ExpiryEntry> decode(byte[] value) {
        if (value.length <= HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(value);
        long writer = buffer.getLong();
        int firstIndex = buffer.getInt();
        int count = buffer.getInt();
        int keyBytes = value.length - HEADER_BYTES;
        String key = new String(value, HEADER_BYTES, keyBytes, StandardCharsets.UTF_8);
        return Optional.of(new ExpiryEntry(key, writer, firstIndex, count));
    }
}
