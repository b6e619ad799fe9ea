package org.heathercourse.core.history;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Binary form of stored turns. A turn has one value, and continuation values if it is larger than
 * one row can hold. Stateless and safe for use by several threads.
 *
 * <p>The first value has a header of fixed size (format, writer, end of the retention, number of
 * continuations, checksum of the content), followed by the first bytes of the content.
 */
public final class TurnRowCodec {
    /**
     * Maximum size in bytes of the content in one value. The store accepts rows of 65,536 bytes.
     */
    public static final int MAX_VALUE_BYTES = 60 * 1024;

    /** Maximum number of continuations, which bounds the reads that a damaged row can cause. */
    private static final int MAX_CONTINUATIONS = 1_000;

    private static final byte FORMAT = 1;
    private static final int RETAINED_UNTIL_OFFSET = 1 + Long.BYTES;
    private static final int HEADER_BYTES =
            1 + Long.BYTES + Long.BYTES + Integer.BYTES + Integer.BYTES;

    private TurnRowCodec() {}

    /**
     * Header of a stored turn.
     *
     * @param writer random number of the write
     * @param retainedUntilMillis wall-clock time in milliseconds until which the row is kept
     * @param continuations number of continuation values
     */
    public record Header(long writer, long retainedUntilMillis, int continuations) {}

    /** Returns the values of a turn: the first one and its continuations, in order. */
    public static List<byte[]> encode(TurnRow row) {
        byte[] prefix = encodePrefix(row);
        int contentBytes = prefix.length + row.segment().length;
        int continuations = (contentBytes - 1) / MAX_VALUE_BYTES;
        List<byte[]> values = new ArrayList<>();
        for (int from = 0; from < contentBytes; from += MAX_VALUE_BYTES) {
            int length = Math.min(MAX_VALUE_BYTES, contentBytes - from);
            ByteBuffer value = ByteBuffer.allocate((from == 0 ? HEADER_BYTES : 0) + length);
            if (from == 0) {
                value.put(FORMAT)
                        .putLong(row.writer())
                        .putLong(row.lifetime().retainedUntilMillis());
                value.putInt(continuations).putInt(checksum(prefix, row.segment()));
            }
            int prefixBytes = Math.max(0, Math.min(length, prefix.length - from));
            if (prefixBytes > 0) {
                value.put(prefix, from, prefixBytes);
            }
            int segmentFrom = Math.max(0, from - prefix.length);
            values.add(value.put(row.segment(), segmentFrom, length - prefixBytes).array());
        }
        return values;
    }

    /** Returns the content before the bytes of the segment. */
    private static byte[] encodePrefix(TurnRow row) {
        List<byte[]> keys =
                row.bases().stream()
                        .map(base -> base.key().getBytes(StandardCharsets.UTF_8))
                        .toList();
        int keyBytes = keys.stream().mapToInt(key -> key.length).sum();
        int baseBytes = keyBytes + keys.size() * (Integer.BYTES + Long.BYTES);
        ByteBuffer prefix = ByteBuffer.allocate(2 * Long.BYTES + 2 * Integer.BYTES + baseBytes);
        prefix.putLong(row.lifetime().neededUntilMillis())
                .putLong(row.historyBytes())
                .putInt(keys.size());
        for (int i = 0; i < keys.size(); i++) {
            prefix.putInt(keys.get(i).length).put(keys.get(i));
            prefix.putLong(row.bases().get(i).retainedUntilMillis());
        }
        return prefix.putInt(row.segment().length).array();
    }

    private static int checksum(byte[]... parts) {
        CRC32C checksum = new CRC32C();
        for (byte[] part : parts) {
            checksum.update(part);
        }
        return (int) checksum.getValue();
    }

    /** Returns the header of a first value; empty if it is not one. */
    public static Optional<Header> decodeHeader(byte[] firstValue) {
        if (firstValue.length < HEADER_BYTES || firstValue[0] != FORMAT) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.wrap(firstValue, 1, HEADER_BYTES - 1);
        Header decoded = new Header(header.getLong(), header.getLong(), header.getInt());
        boolean isSound =
                decoded.continuations() >= 0 && decoded.continuations() <= MAX_CONTINUATIONS;
        return isSound ? Optional.of(decoded) : Optional.empty();
    }

    /** Returns a copy of a first value with another end of the retention. */
    public static byte[] withRetainedUntil(byte[] firstValue, long millis) {
        byte[] value = firstValue.clone();
        ByteBuffer.wrap(value).putLong(RETAINED_UNTIL_OFFSET, millis);
        return value;
    }

    /**
     * Decodes a turn.
     *
     * @param values the first value and its continuations, in order
     * @return the turn; empty if the values are not those of one turn
     */
    public static Optional<TurnRow> decode(List<byte[]> values) {
        return decodeHeader(values.get(0)).flatMap(header -> decode(header, values));
    }

    private static Optional<TurnRow> decode(Header header, List<byte[]> values) {
        if (header.continuations() != values.size() - 1) {
            return Optional.empty();
        }
        int sizeBytes = values.stream().mapToInt(value -> value.length).sum() - HEADER_BYTES;
        ByteBuffer content = ByteBuffer.allocate(sizeBytes);
        content.put(values.get(0), HEADER_BYTES, values.get(0).length - HEADER_BYTES);
        values.stream().skip(1).forEach(content::put);
        int checksum = ByteBuffer.wrap(values.get(0)).getInt(HEADER_BYTES - Integer.BYTES);
        if (checksum(content.array()) != checksum) {
            return Optional.empty();
        }
        try {
            return Optional.of(decodeContent(header, content.flip()));
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static TurnRow decodeContent(Header header, ByteBuffer content) {
        long neededUntilMillis = content.getLong();
        Lifetime lifetime = new Lifetime(neededUntilMillis, header.retainedUntilMillis());
        long historyBytes = content.getLong();
        int baseCount = content.getInt();
        List<TurnRow.Base> bases = new ArrayList<>();
        for (int i = 0; i < baseCount; i++) {
            String key = new String(bytes(content, content.getInt()), StandardCharsets.UTF_8);
            bases.add(new TurnRow.Base(key, content.getLong()));
        }
        byte[] segment = bytes(content, content.getInt());
        return new TurnRow(header.writer(), lifetime, historyBytes, bases, segment);
    }

    private static byte[] bytes(ByteBuffer content, int length) {
        if (length < 0 || length > content.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        content.get(bytes);
        return bytes;
    }
}
