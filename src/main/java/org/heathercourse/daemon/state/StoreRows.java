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
    static final String DAEMONS = "daemon/";
    static final String SHARDS = "shard/";

    private static final int PAGE_ROWS = 500;
    private static final byte INLINE = 0;
    private static final byte OBJECT = 1;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
                    .addMixIn(DaemonInfo.class, DaemonColumns.class);

    /**
     * Rows are arrays without field names, since each daemon reads all of them again and again. New
     * fields go to the end.
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
        return DAEMONS + vm;
    }

    static String shardKey(ShardId shard) {
        return SHARDS + shard;
    }

    static String logPrefix(ShardId shard) {
        return "log/" + shard + "/";
    }

    /** Numbers are padded so that rows are scanned in the order of the log. */
    static String logKey(ShardId shard, long seq) {
        return logPrefix(shard) + String.format(Locale.ROOT, "%014d", seq);
    }

    static String logObject(ShardId shard, long fence, long seq) {
        return logPrefix(shard) + fence + "/" + seq;
    }

    static String snapshotPrefix(ShardId shard) {
        return "snap/" + shard + "/";
    }

    static String snapshotObject(ShardId shard, long fence, long seq, int part) {
        return snapshotPrefix(shard) + fence + "/" + seq + "-" + part;
    }

    /** Returns the fencing number in the name of an object of a shard. */
    static long fenceOf(String prefix, String name) {
        return Long.parseLong(name.substring(prefix.length(), name.indexOf('/', prefix.length())));
    }

    static ShardId shardOf(Row row) {
        return new ShardId(Integer.parseInt(row.key().substring(SHARDS.length())));
    }

    static byte[] encode(DaemonInfo daemon) {
        return write(daemon);
    }

    static byte[] encode(ShardRow shard) {
        return write(shard);
    }

    static DaemonInfo daemon(Row row) {
        return read(row, DaemonInfo.class);
    }

    static ShardRow shard(Row row) {
        return read(row, ShardRow.class);
    }

    static byte[] inlineSegment(byte[] segment) {
        return ByteBuffer.allocate(segment.length + 1).put(INLINE).put(segment).array();
    }

    static byte[] segmentObject(String name) {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(text.length + 1).put(OBJECT).put(text).array();
    }

    /** Returns the name of the object that holds a segment, or null if the row holds it. */
    static String objectName(byte[] value) {
        return value[0] == OBJECT
                ? new String(value, 1, value.length - 1, StandardCharsets.UTF_8)
                : null;
    }

    static byte[] inlineContent(byte[] value) {
        return Arrays.copyOfRange(value, 1, value.length);
    }

    /** Reads all rows of a prefix, page by page. */
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

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw damaged("row content cannot be encoded", e);
        }
    }

    private static <T> T read(Row row, Class<T> type) {
        try {
            return MAPPER.readValue(row.value(), type);
        } catch (IOException e) {
            throw damaged("row " + row.key() + " cannot be read", e);
        }
    }

    static HeathercourseException damaged(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INTERNAL)
                .message(message)
                .remedy("check that all daemons run compatible versions")
                .cause(cause)
                .build();
    }
}
