package org.heathercourse.testing.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.heathercourse.platform.rows.ChangesExpiredException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * The row store of the hosted platform on a loopback port, with injectable failures. Open from
 * construction until {@link #close()}. Thread-safe.
 */
public final class StoreStandIn implements AutoCloseable {
    /** Behavior for all requests. */
    public enum Mode {
        /** Executes requests. */
        SERVES,
        /** Responds with status 503 without executing requests. */
        REFUSES,
        /** Neither executes requests nor responds. */
        UNRESPONSIVE,
        /** Executes writes and closes the connection without a response. */
        LOSES_REPLIES
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MemoryRows mRows;
    private final StandInServer mServer;
    private final AtomicInteger mRequestCount = new AtomicInteger();

    /** Increases each time the open connections go silent. */
    private volatile int mGeneration;

    private volatile Mode mMode = Mode.SERVES;

    /** Table whose requests wait for {@link #serveHeld}; null if none do. */
    private volatile String mHeldTable;

    private final Queue<Runnable> mHeldRequests = new ConcurrentLinkedQueue<>();

    /** Table whose next write gets no reply; null if all get one. */
    private final AtomicReference<String> mTableWithoutReply = new AtomicReference<>();

    /** Opens a store without rows on a free port. */
    public StoreStandIn() {
        this(new MemoryRows());
    }

    /** Opens a further port to existing rows, with a failure mode of its own. */
    public StoreStandIn(MemoryRows rows) {
        mRows = rows;
        mServer = new StandInServer("store-stand-in", Handler::new);
    }

    /** Returns the port number. */
    public int port() {
        return mServer.port();
    }

    /** Returns the rows for direct access, which no failure mode affects. */
    public MemoryRows rows() {
        return mRows;
    }

    /** Returns the number of received requests. */
    public int requestCount() {
        return mRequestCount.get();
    }

    /** Sets the behavior for all following requests. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /** Makes the following requests to a table wait for {@link #serveHeld}. */
    public void holdTable(String table) {
        mHeldTable = table;
    }

    /** Returns the number of requests that wait. */
    public int heldCount() {
        return mHeldRequests.size();
    }

    /** Executes the requests that wait, and those that follow at once. */
    public void serveHeld() {
        mHeldTable = null;
        for (Runnable next = mHeldRequests.poll(); next != null; next = mHeldRequests.poll()) {
            next.run();
        }
    }

    /** Executes the next write to a table and closes its connection without a response. */
    public void loseNextReplyTo(String table) {
        mTableWithoutReply.set(table);
    }

    /** Returns whether the reply that {@link #loseNextReplyTo} asked for has been lost. */
    public boolean hasLostReply() {
        return mTableWithoutReply.get() == null;
    }

    /** Writes the configuration row. */
    public void configure(String json) {
        put("op", "config", json);
    }

    /** Writes the registration row of a target. */
    public void register(String id, String json) {
        put("servers", id, json);
    }

    /** Removes the registration row of a target. */
    public void unregister(String id) {
        remove("servers", id);
    }

    /**
     * Writes the row that evacuates a zone.
     *
     * @param zone name of the zone
     * @param value content of the row; a JSON object is valid
     */
    public void evacuate(String zone, String value) {
        put("op", "evacuate/" + zone, value);
    }

    /** Removes the row that evacuates a zone. */
    public void endEvacuation(String zone) {
        remove("op", "evacuate/" + zone);
    }

    private void remove(String table, String id) {
        RowKey key = new RowKey(table, "", id);
        mRows.commit(RowTransaction.builder().remove(key, RowTransaction.ANY_VERSION).build());
    }

    private void put(String table, String key, String json) {
        mRows.commit(
                RowTransaction.put(
                        new RowKey(table, "", key),
                        RowTransaction.ANY_VERSION,
                        json.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Stops replying on the connections that are open now; later ones work. */
    public void silenceOpenConnections() {
        mGeneration++;
    }

    /** Handles one connection of a gateway. Confined to its event loop. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int mOpenedInGeneration = mGeneration;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
                throws IOException {
            mRequestCount.incrementAndGet();
            if (mOpenedInGeneration != mGeneration) {
                return;
            }
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            boolean write = uri.path().equals("/api/rows-tx");
            String table = table(request, uri, write);
            if (mMode == Mode.SERVES && table.equals(mHeldTable)) {
                FullHttpRequest kept = request.retain();
                mHeldRequests.add(
                        () -> context.executor().execute(() -> serveKept(context, kept, uri)));
                return;
            }
            if (write && mMode == Mode.SERVES && losesReply(table)) {
                mRows.commit(transaction(request));
                context.close();
                return;
            }
            switch (mMode) {
                case REFUSES -> answer(context, 503, JsonNodeFactory.instance.objectNode());
                case UNRESPONSIVE -> {}
                case LOSES_REPLIES -> {
                    if (write) {
                        mRows.commit(transaction(request));
                    }
                    context.close();
                }
                default -> serve(context, request, uri);
            }
        }

        /** Returns whether a write to a table is the one that gets no reply. */
        private boolean losesReply(String table) {
            String chosen = mTableWithoutReply.get();
            return table.equals(chosen) && mTableWithoutReply.compareAndSet(chosen, null);
        }

        /** Returns the table of a read, or of the first row of a write. */
        private String table(FullHttpRequest request, QueryStringDecoder uri, boolean write)
                throws IOException {
            return write
                    ? transaction(request).writes().get(0).key().table()
                    : queryParameter(uri, "table");
        }

        private void serveKept(
                ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder uri) {
            try {
                serve(context, request, uri);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                request.release();
            }
        }

        private void serve(
                ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder uri)
                throws IOException {
            switch (uri.path()) {
                case "/api/rows-tx" -> {
                    RowCommit commit = mRows.commit(transaction(request)).join();
                    ObjectNode body = JsonNodeFactory.instance.objectNode();
                    body.put("row_version", commit.version());
                    commit.currentRows().forEach(row -> encode(body.withArray("rows"), row));
                    answer(context, commit.committed() ? 200 : 412, body);
                }
                case "/api/rows-get" -> {
                    RowPage page =
                            mRows.read(
                                            queryParameter(uri, "table"),
                                            queryParameter(uri, "part"),
                                            queryParameter(uri, "from"))
                                    .join();
                    answer(context, 200, encode(limited(page, queryParameter(uri, "limit"))));
                }
                case "/api/rows-feed" -> feed(context, uri);
                default -> answer(context, 404, JsonNodeFactory.instance.objectNode());
            }
        }

        private void feed(ChannelHandlerContext context, QueryStringDecoder uri) {
            long waitMillis = Long.parseLong(queryParameter(uri, "wait_ms"));
            var page =
                    mRows.changes(
                            queryParameter(uri, "table"),
                            Long.parseLong(queryParameter(uri, "after")),
                            waitMillis);
            context.executor()
                    .schedule(mRows::completeWaitingReads, waitMillis, TimeUnit.MILLISECONDS);
            page.whenCompleteAsync(
                    (rows, error) -> {
                        Throwable cause =
                                error instanceof CompletionException e ? e.getCause() : error;
                        if (cause instanceof ChangesExpiredException) {
                            answer(context, 410, JsonNodeFactory.instance.objectNode());
                        } else {
                            answer(context, 200, encode(rows));
                        }
                    },
                    context.executor());
        }

        private void answer(ChannelHandlerContext context, int status, ObjectNode body) {
            byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            context.writeAndFlush(response);
        }
    }

    private static RowPage limited(RowPage page, String limit) {
        if (limit.isEmpty() || page.rows().size() <= Integer.parseInt(limit)) {
            return page;
        }
        List<StoredRow> rows = page.rows().subList(0, Integer.parseInt(limit));
        return new RowPage(rows, true, page.storeVersion());
    }

    private static String queryParameter(QueryStringDecoder uri, String name) {
        Map<String, List<String>> parameters = uri.parameters();
        return parameters.getOrDefault(name, List.of("")).get(0);
    }

    private static RowTransaction transaction(FullHttpRequest request) throws IOException {
        JsonNode body = MAPPER.readTree(ByteBufUtil.getBytes(request.content()));
        RowTransaction.Builder transaction = RowTransaction.builder();
        for (JsonNode put : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            transaction.put(key(put), expectedVersion(body, put), value);
        }
        for (JsonNode removal : body.path("remove")) {
            transaction.remove(key(removal), expectedVersion(body, removal));
        }
        return transaction.build();
    }

    private static RowKey key(JsonNode node) {
        return new RowKey(
                node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }

    private static long expectedVersion(JsonNode body, JsonNode write) {
        for (JsonNode condition : body.path("expected")) {
            if (key(condition).equals(key(write))) {
                return condition.path("row_version").asLong();
            }
        }
        return RowTransaction.ANY_VERSION;
    }

    private static ObjectNode encode(RowPage page) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode rows = body.putArray("rows");
        page.rows().forEach(row -> encode(rows, row));
        return body.put("more_pages", page.hasMore()).put("row_version", page.storeVersion());
    }

    private static void encode(ArrayNode rows, StoredRow row) {
        ObjectNode node = rows.addObject();
        node.put("table", row.key().table())
                .put("part", row.key().part())
                .put("key", row.key().key())
                .put("row_version", row.version());
        if (row.exists()) {
            node.put("value", Base64.getEncoder().encodeToString(row.value()));
        } else {
            node.put("removed", true);
        }
    }
}
