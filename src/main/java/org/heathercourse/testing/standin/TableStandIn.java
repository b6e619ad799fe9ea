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
 * An HTTP table service in memory: versioned rows and transactions of conditional writes.
 * Thread-safe.
 */
final class TableStandIn implements HttpPort.Handler {
    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final ThroughputLimit mReadLimit;
    private final ThroughputLimit mWriteLimit;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mTransactions = new AtomicLong();
    private final AtomicLong mRowWrites = new AtomicLong();
    private final AtomicLong mConflicts = new AtomicLong();

    TableStandIn(ThroughputLimit readLimit, ThroughputLimit writeLimit) {
        mReadLimit = readLimit;
        mWriteLimit = writeLimit;
    }

    @Override
    public long queueDelayNanos(Exchange exchange) {
        return (exchange.path().equals("/commit") ? mWriteLimit : mReadLimit).reserveDelayNanos();
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
        stats.put("table_writes", mTransactions.get());
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
        exchange.reply(200, writeRow(Exchange.JSON.createObjectNode(), row, true));
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
                writeRow(rows.addObject(), row, true);
            }
        }
        exchange.reply(200, result);
    }

    private void commit(Exchange exchange) throws IOException {
        JsonNode transaction = exchange.json();
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode rows = result.putArray("rows");
        mTransactions.incrementAndGet();
        synchronized (mRows) {
            boolean conditionsHold = true;
            for (JsonNode write : transaction.path("writes")) {
                Row current = mRows.get(write.path("key").asText());
                long version = current == null ? Row.ABSENT : current.version();
                long expected = write.path("expected_version").asLong();
                if (expected != Transaction.ANY_VERSION && expected != version) {
                    conditionsHold = false;
                    if (current != null) {
                        writeRow(rows.addObject(), current, true);
                    }
                }
            }
            result.put("committed", conditionsHold);
            if (conditionsHold) {
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
            Row current = mRows.get(key);
            Row row =
                    new Row(
                            key,
                            current == null ? 1 : current.version() + 1,
                            transaction.path("commit_id").asText(),
                            write.get("value").binaryValue());
            mRows.put(key, row);
            writeRow(rows.addObject(), row, false);
        }
    }

    private static ObjectNode writeRow(ObjectNode node, Row row, boolean withValue) {
        node.put("key", row.key()).put("version", row.version()).put("commit_id", row.commitId());
        if (withValue) {
            node.put("value", row.value());
        }
        return node;
    }
}
