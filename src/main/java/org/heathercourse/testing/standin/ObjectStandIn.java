package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** An HTTP object store in memory. Thread-safe. */
final class ObjectStandIn implements HttpPort.Handler {
    private final ConcurrentSkipListMap<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final ThroughputLimit mReadLimit;
    private final ThroughputLimit mWriteLimit;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();

    ObjectStandIn(ThroughputLimit readLimit, ThroughputLimit writeLimit) {
        mReadLimit = readLimit;
        mWriteLimit = writeLimit;
    }

    @Override
    public long queueDelayNanos(Exchange exchange) {
        return (!exchange.method().equals("GET") ? mWriteLimit : mReadLimit).reserveDelayNanos();
    }

    @Override
    public void handle(Exchange exchange) {
        String name = exchange.query("name");
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /object" -> get(exchange, name);
            case "PUT /object" -> put(exchange, name);
            case "DELETE /object" -> {
                mWrites.incrementAndGet();
                mObjects.remove(name);
                exchange.reply(200, Exchange.JSON.createObjectNode());
            }
            case "GET /objects" -> list(exchange);
            default -> exchange.error(404, "no such path: " + exchange.path(), true);
        }
    }

    /** Adds the counters to the statistics. */
    void addTo(ObjectNode stats) {
        stats.put("object_reads", mReads.get());
        stats.put("object_writes", mWrites.get());
        stats.put("objects", mObjects.size());
    }

    private void get(Exchange exchange, String name) {
        mReads.incrementAndGet();
        byte[] content = mObjects.get(name);
        if (content == null) {
            exchange.error(404, "no such object", true);
            return;
        }
        exchange.reply(200, "application/octet-stream", content);
    }

    private void put(Exchange exchange, String name) {
        mWrites.incrementAndGet();
        byte[] existing = mObjects.putIfAbsent(name, exchange.body());
        if (existing != null && !Arrays.equals(existing, exchange.body())) {
            exchange.error(409, "the object exists with other content", true);
            return;
        }
        exchange.reply(200, Exchange.JSON.createObjectNode());
    }

    private void list(Exchange exchange) {
        mReads.incrementAndGet();
        String prefix = exchange.query("prefix");
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode names = result.putArray("names");
        for (String name : mObjects.tailMap(prefix, true).keySet()) {
            if (!name.startsWith(prefix)) {
                break;
            }
            names.add(name);
        }
        exchange.reply(200, result);
    }
}
