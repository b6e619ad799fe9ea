package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.ChangesExpiredException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoreChannel;
import org.heathercourse.platform.rows.StoredRow;

/** The row store of this platform. Immutable and safe for use by several threads. */
final class HostedRowStore implements RowStore {
    /** Timeout of a call, in addition to the time that it waits for changes. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final StoreChannel mChannel;

    HostedRowStore(StoreChannel channel) {
        mChannel = channel;
    }

    @Override
    public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
        QueryStringEncoder uri = new QueryStringEncoder(WireNames.READ_PATH);
        uri.addParam("table", table);
        uri.addParam("part", part);
        if (!fromKey.isEmpty()) {
            uri.addParam("from", fromKey);
        }
        return get(uri, CALL_TIMEOUT_MILLIS).thenApply(reply -> page(reply, "read of " + table));
    }

    @Override
    public CompletableFuture<StoredRow> read(RowKey key) {
        QueryStringEncoder uri = new QueryStringEncoder(WireNames.READ_PATH);
        uri.addParam("table", key.table());
        uri.addParam("part", key.part());
        uri.addParam("from", key.key());
        uri.addParam("limit", "1");
        return get(uri, CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> page(reply, "read of " + key.table()))
                .thenApply(
                        page ->
                                page.rows().stream()
                                        .filter(row -> row.key().equals(key))
                                        .findFirst()
                                        .orElse(StoredRow.absent(key)));
    }

    @Override
    public CompletableFuture<RowPage> changes(String table, long afterVersion, long waitMillis) {
        QueryStringEncoder uri = new QueryStringEncoder(WireNames.CHANGES_PATH);
        uri.addParam("table", table);
        uri.addParam("after", Long.toString(afterVersion));
        uri.addParam("wait_ms", Long.toString(waitMillis));
        return get(uri, waitMillis + CALL_TIMEOUT_MILLIS)
                .thenApply(
                        reply -> {
                            if (reply.status() == GONE) {
                                throw new ChangesExpiredException(table, afterVersion);
                            }
                            return page(reply, "changes of " + table);
                        });
    }

    private CompletableFuture<StoreChannel.Reply> get(QueryStringEncoder uri, long timeoutMillis) {
        StoreChannel.Request request = new StoreChannel.Request("GET", uri.toString(), new byte[0]);
        return mChannel.send(request, timeoutMillis);
    }

    @Override
    public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
        byte[] body = Json.bytes(encode(transaction));
        return mChannel.send(
                        new StoreChannel.Request("POST", WireNames.COMMIT_PATH, body),
                        CALL_TIMEOUT_MILLIS)
                .thenApply(HostedRowStore::commitResult);
    }

    private static ObjectNode encode(RowTransaction transaction) {
        ObjectNode body = Json.object();
        ArrayNode expected = body.putArray("expected");
        ArrayNode puts = body.putArray("puts");
        ArrayNode removals = body.putArray("remove");
        for (RowTransaction.Write write : transaction.writes()) {
            if (write.expectedVersion() != RowTransaction.ANY_VERSION) {
                place(expected.addObject(), write.key())
                        .put("row_version", write.expectedVersion());
            }
            if (write.value() == null) {
                place(removals.addObject(), write.key());
            } else {
                place(puts.addObject(), write.key())
                        .put("value", Base64.getEncoder().encodeToString(write.value()));
            }
        }
        return body;
    }

    private static ObjectNode place(ObjectNode node, RowKey key) {
        return node.put("table", key.table()).put("part", key.part()).put("key", key.key());
    }

    private static RowCommit commitResult(StoreChannel.Reply reply) {
        if (reply.status() == PRECONDITION_FAILED) {
            return new RowCommit(false, 0, rows(parse(reply, "commit").path("rows")));
        }
        JsonNode body = parse(successful(reply, "commit"), "commit");
        return new RowCommit(true, body.path("row_version").asLong(), List.of());
    }

    private static RowPage page(StoreChannel.Reply reply, String call) {
        JsonNode body = parse(successful(reply, call), call);
        if (!body.path("rows").isArray()) {
            // Without this check, a reply of something else would show that a row is absent.
            throw StoreException.outcomeUnknown(
                    call + " was answered without a list of rows, expected one", null);
        }
        return new RowPage(
                rows(body.path("rows")),
                body.path("more_pages").asBoolean(false),
                body.path("row_version").asLong());
    }

    private static StoreChannel.Reply successful(StoreChannel.Reply reply, String call) {
        if (reply.status() == OK) {
            return reply;
        }
        String message = call + " was answered with status " + reply.status() + ", expected 200";
        boolean notExecuted = reply.status() == UNAVAILABLE || reply.status() == TOO_MANY_REQUESTS;
        throw notExecuted
                ? StoreException.unavailable(message, null)
                : StoreException.outcomeUnknown(message, null);
    }

    private static JsonNode parse(StoreChannel.Reply reply, String call) {
        try {
            JsonNode body = Json.read(reply.body());
            if (body != null && body.isObject()) {
                return body;
            }
        } catch (IOException e) {
            throw StoreException.outcomeUnknown(
                    call + " was answered with a malformed body, expected JSON", e);
        }
        throw StoreException.outcomeUnknown(
                call + " was answered with other JSON, expected a JSON object", null);
    }

    private static List<StoredRow> rows(JsonNode nodes) {
        List<StoredRow> rows = new ArrayList<>();
        for (JsonNode node : nodes) {
            RowKey key =
                    new RowKey(
                            node.path("table").asText(),
                            node.path("part").asText(),
                            node.path("key").asText());
            boolean removed = node.path("removed").asBoolean(false);
            long version = node.path("row_version").asLong();
            rows.add(
                    removed || version == StoredRow.ABSENT
                            ? StoredRow.absent(key)
                            : new StoredRow(key, value(node), version));
        }
        return rows;
    }

    private static byte[] value(JsonNode node) {
        try {
            return Base64.getDecoder().decode(node.path("value").asText());
        } catch (IllegalArgumentException e) {
            // Another program wrote the row without Base64; its content is treated as empty.
            return new byte[0];
        }
    }
}
