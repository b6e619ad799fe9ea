package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.Request;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/** Client of the table service over HTTP. Safe for use by several threads. */
public final class HttpTableStore implements TableStore {
    private final StoreHttp mHttp;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     * @param baseUrl base URL of the service
     */
    public HttpTableStore(HttpTransport transport, String baseUrl) {
        mHttp = new StoreHttp(transport, baseUrl, "table service");
    }

    @Override
    public Optional<Row> read(String key) {
        HttpTransport.Reply reply =
                mHttp.send(
                        new Request.Builder()
                                .url(mHttp.url("row").addQueryParameter("key", key).build()));
        if (reply.status() == 404) {
            return Optional.empty();
        }
        return Optional.of(rowOf(json(reply, 200)));
    }

    @Override
    public List<Row> scan(String prefix, String afterKey, int limit) {
        HttpTransport.Reply reply =
                mHttp.send(
                        new Request.Builder()
                                .url(
                                        mHttp.url("rows")
                                                .addQueryParameter("prefix", prefix)
                                                .addQueryParameter("after", afterKey)
                                                .addQueryParameter("limit", "" + limit)
                                                .build()));
        return rowsOf(json(reply, 200));
    }

    @Override
    public CommitResult commit(Transaction transaction) {
        ObjectNode body = HttpTransport.JSON.createObjectNode();
        body.put("commit_id", transaction.commitId());
        ArrayNode writes = body.putArray("writes");
        for (Transaction.Write write : transaction.writes()) {
            ObjectNode node = writes.addObject();
            node.put("key", write.key());
            node.put("expected_version", write.expectedVersion());
            if (write.value() != null) {
                node.put("value", write.value());
            }
        }
        HttpTransport.Reply reply =
                mHttp.send(
                        new Request.Builder()
                                .url(mHttp.url("commit").build())
                                .post(HttpTransport.jsonBody(body)));
        JsonNode result = json(reply, 200);
        return new CommitResult(result.path("committed").asBoolean(), rowsOf(result));
    }

    private JsonNode json(HttpTransport.Reply reply, int expectedStatus) {
        if (reply.status() != expectedStatus) {
            throw mHttp.unexpected(reply);
        }
        try {
            return reply.json();
        } catch (IOException e) {
            throw mHttp.malformed(e);
        }
    }

    private List<Row> rowsOf(JsonNode result) {
        List<Row> rows = new ArrayList<>();
        for (JsonNode row : result.path("rows")) {
            rows.add(rowOf(row));
        }
        return rows;
    }

    private Row rowOf(JsonNode node) {
        try {
            byte[] value = node.hasNonNull("value") ? node.get("value").binaryValue() : null;
            return new Row(
                    node.path("key").asText(),
                    node.path("version").asLong(),
                    node.path("commit_id").asText(),
                    value);
        } catch (IOException e) {
            throw mHttp.malformed(e);
        }
    }
}
