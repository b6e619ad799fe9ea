package org.heathercourse.daemon.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Keys and contents of the rows and objects that hold ownership and logs. Stateless. */
final class StoreRows {
    static final String DAEMON_PREFIX = "daemon/";
    static final String SHARD_PREFIX = "shard/";

    private static final int PAGE_ROWS = 500;
    private static final byte INLINE_TAG = 0;
    private static final byte OBJECT_TAG = 1;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
                    .addMixIn(DaemonInfo.class, DaemonColumns.class);

    /**
     * Rows are arrays without field names to keep them small, since each daemon reads all of them
     * periodically. New fields must be added at the end.
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({
        "vm",
        "incarnation",
        "zone",
        "host",
        "callerPort",
        "peerPort",
        "operatorPort",
        "heartbeat",
        "periodMillis",
        "draining"
    })
    private interface DaemonColumns {}

    private StoreRows() {}

    static String daemonKey(VmId vm) {
        return DAEMON_PREFIX + vm;
    }

    static String shardKey(ShardId shard) {
        return SHARD_PREFIX + shard;
    }

    static String logPrefix(ShardId shard) {
        return "log/" + shard + "/";
    }

    /** Returns the key of a log row; the number is padded so that scans return the log order. */
    static String logKey(ShardId shard, long seq) {
        return logPrefix(shard) + String.format(Locale.ROOT, "%014d", seq);
    }

    static String logObjectName(ShardId shard, long fence, long seq) {
        return logPrefix(shard) + fence + "/" + seq;
    }

    static String snapshotPrefix(ShardId shard) {
        return "snap/" + shard + "/";
    }

    static String snapshotObjectName(ShardId shard, long fence, long seq, int part) {
        return snapshotPrefix(shard) + fence + "/" + seq + "-" + part;
    }

    /** Returns the fencing number in the name of an object of a shard. */
    static long fenceOf(String prefix, String name) {
        return Long.parseLong(name.substring(prefix.length(), name.indexOf('/', prefix.length())));
    }

    static ShardId shardOf(Row row) {
        return new ShardId(Integer.parseInt(row.key().substring(SHARD_PREFIX.length())));
    }

    static byte[] encode(DaemonInfo daemon) {
        return serialize(daemon);
    }

    static byte[] encode(ShardRow shard) {
        return serialize(shard);
    }

    static DaemonInfo decodeDaemon(Row row) {
        return deserialize(row, DaemonInfo.class);
    }

    static ShardRow decodeShard(Row row) {
        return deserialize(row, ShardRow.class);
    }

    static byte[] encodeInlineSegment(byte[] segment) {
        return ByteBuffer.allocate(segment.length + 1).put(INLINE_TAG).put(segment).array();
    }

    static byte[] encodeObjectReference(String name) {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(text.length + 1).put(OBJECT_TAG).put(text).array();
    }

    /** Returns the name of the object that stores a segment, or null if the row stores it. */
    static String decodeObjectName(byte[] value) {
        return value[0] == OBJECT_TAG
                ? new String(value, 1, value.length - 1, StandardCharsets.UTF_8)
                : null;
    }

    static byte[] decodeInlineSegment(byte[] value) {
        return Arrays.copyOfRange(value, 1, value.length);
    }

    /** Returns all rows of a prefix, read in pages. */
    static List<Row> scan(TableStore table, String prefix) {
        List<Row> all = new ArrayList<>();
        String after = "";
        while (true) {
            List<Row> page = table.scan(prefix, after, PAGE_ROWS);
            all.addAll(page);
            if (page.size() < PAGE_ROWS) {
                return all;
            }
            after = page.get(page.size() - 1).key();
        }
    }

    private static byte[] serialize(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw corrupted("row content cannot be encoded", e);
        }
    }

    private static <T> T deserialize(Row row, Class<T> type) {
        try {
            return MAPPER.readValue(row.value(), type);
        } catch (IOException e) {
            throw corrupted("row " + row.key() + " cannot be read", e);
        }
    }

    static HeathercourseException corrupted(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INTERNAL)
                .message(message)
                .remedy("check that all daemons run compatible versions")
                .cause(cause)
                .build();
    }
}
