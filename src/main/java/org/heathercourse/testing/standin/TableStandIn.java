package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.Transaction;

/**
 * The table service in memory: rows with versions and transactions of conditional writes. Safe for
 * use by several threads.
 */
final class TableStandIn implements HttpPort.Handler {
    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final Capacity mReadCapacity;
    private final Capacity mWriteCapacity;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
    private final AtomicLong mRowWrites = new AtomicLong();
    private final AtomicLong mConflicts = new AtomicLong();

    TableStandIn(Capacity reads, Capacity writes) {
        mReadCapacity = reads;
        mWriteCapacity = writes;
    }

    @Override
    public long queueDelayNanos(Exchange exchange) {
        return (exchange.path().equals("/commit") ? mWriteCapacity : mReadCapacity)
                .takeDelayNanos();
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/row" -> read(exchange);
            case "/rows" -> scan(exchange);
            case "/commit" -> commit(exchange);
            default -> exchange.error(404, "no such path: " + exchange.path(), true);
        }
    }

    /** Adds the counters to the statistics. */
    void addTo(ObjectNode stats) {
        stats.put("table_reads", mReads.get());
        stats.put("table_writes", mWrites.get());
        stats.put("table_row_writes", mRowWrites.get());
        stats.put("table_conflicts", mConflicts.get());
        synchronized (mRows) {
            stats.put("table_rows", mRows.size());
        }
    }

    private void read(Exchange exchange) {
        mReads.incrementAndGet();
        Row row;
        synchronized (mRows) {
            row = mRows.get(exchange.query("key"));
        }
        if (row == null) {
            exchange.error(404, "no such row", true);
            return;
        }
        exchange.reply(200, put(Exchange.JSON.createObjectNode(), row, true));
    }

    private void scan(Exchange exchange) {
        mReads.incrementAndGet();
        String prefix = exchange.query("prefix");
        String after = exchange.query("after");
        long limit = exchange.longQuery("limit", 100);
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode rows = result.putArray("rows");
        synchronized (mRows) {
            NavigableMap<String, Row> tail =
                    after.compareTo(prefix) >= 0
                            ? mRows.tailMap(after, false)
                            : mRows.tailMap(prefix, true);
            for (Row row : tail.values()) {
                if (!row.key().startsWith(prefix) || rows.size() >= limit) {
                    break;
                }
                put(rows.addObject(), row, true);
            }
        }
        exchange.reply(200, result);
    }

    private void commit(Exchange exchange) throws IOException {
        JsonNode transaction = exchange.json();
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode rows = result.putArray("rows");
        mWrites.incrementAndGet();
        synchronized (mRows) {
            boolean holds = true;
            for (JsonNode write : transaction.path("writes")) {
                Row present = mRows.get(write.path("key").asText());
                long version = present == null ? Row.ABSENT : present.version();
                long expected = write.path("expected_version").asLong();
                if (expected != Transaction.ANY_VERSION && expected != version) {
                    holds = false;
                    if (present != null) {
                        put(rows.addObject(), present, true);
                    }
                }
            }
            result.put("committed", holds);
            if (holds) {
                apply(transaction, rows);
            } else {
                mConflicts.incrementAndGet();
            }
        }
        exchange.reply(200, result);
    }

    private void apply(JsonNode transaction, ArrayNode rows) throws IOException {
        for (JsonNode write : transaction.path("writes")) {
            String key = write.path("key").asText();
            mRowWrites.incrementAndGet();
            if (!write.hasNonNull("value")) {
                mRows.remove(key);
                continue;
            }
            Row present = mRows.get(key);
            Row row =
                    new Row(
                            key,
                            present == null ? 1 : present.version() + 1,
                            transaction.path("commit_id").asText(),
                            write.get("value").binaryValue());
            mRows.put(key, row);
            put(rows.addObject(), row, false);
        }
    }

    private static ObjectNode put(ObjectNode node, Row row, boolean withValue) {
        node.put("key", row.key()).put("version", row.version()).put("commit_id", row.commitId());
        if (withValue) {
            node.put("value", row.value());
        }
        return node;
    }
}
