package org.heathercourse.testing.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.heathercourse.core.time.Ticker;

/**
 * An HTTP client for callers: queries any daemon for the address to use, caches the address, and
 * queries the next daemon after a failure.
 *
 * <p>Thread-safe.
 */
public final class CallerClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long READ_TIMEOUT_SECONDS = 30;

    private final List<String> mEntryUrls;
    private final AtomicInteger mNextEntryIndex;
    private final OkHttpClient mHttp;
    private final Ticker mTicker = Ticker.system();
    private volatile CachedAddress mCachedAddress;

    /** An address and the time at which it expires. */
    private record CachedAddress(String address, long expiresAtMillis) {}

    /**
     * Creates a client.
     *
     * @param entryUrls base URLs of daemons to query for an address
     * @param firstEntry index of the URL to query first
     */
    public CallerClient(List<String> entryUrls, int firstEntry) {
        mEntryUrls = List.copyOf(entryUrls);
        mNextEntryIndex = new AtomicInteger(firstEntry);
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(512);
        dispatcher.setMaxRequestsPerHost(512);
        mHttp =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(128, 30, TimeUnit.SECONDS))
                        .connectTimeout(2, TimeUnit.SECONDS)
                        .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .retryOnConnectionFailure(false)
                        .build();
    }

    /**
     * The answer to a request.
     *
     * @param text content of a model answer, or body of another answer
     * @param durability durability that the daemon stated; empty if none
     */
    public record Answer(String text, String durability) {}

    /**
     * Sends a JSON request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param key key of the workspace
     * @param body JSON body; null for none
     * @param headers alternating names and values of further headers
     * @return the answer, or the failure of the attempt
     */
    public Either<CallFailure, Answer> send(
            String method, String path, String key, String body, String... headers) {
        String address = resolveAddress();
        if (address == null) {
            return Either.left(
                    CallFailure.ofConnection(
                            "no daemon returned an address, expected one from /v1/address"));
        }
        Request.Builder request = new Request.Builder().url(address + path);
        request.header("Authorization", "Bearer " + key);
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        boolean omitBody = body == null && (method.equals("GET") || method.equals("DELETE"));
        request.method(
                method, omitBody ? null : RequestBody.create(body == null ? "" : body, JSON));
        try (Response response = mHttp.newCall(request.build()).execute()) {
            return readAnswer(response);
        } catch (IOException e) {
            mCachedAddress = null;
            return Either.left(CallFailure.ofConnection(e.toString()));
        }
    }

    private Either<CallFailure, Answer> readAnswer(Response response) throws IOException {
        String type = response.header("Content-Type", "");
        String durability = response.header("X-Durability", "");
        if (response.isSuccessful() && type.startsWith("text/event-stream")) {
            return readEvents(response.body().source(), durability);
        }
        String text = response.body().string();
        if (response.isSuccessful()) {
            return Either.right(new Answer(text, durability));
        }
        return Either.left(parseFailure(response.code(), text, response.header("Retry-After")));
    }

    private static CallFailure parseFailure(int status, String text, String retryAfter)
            throws IOException {
        JsonNode error = MAPPER.createObjectNode();
        if (text.startsWith("{")) {
            error = MAPPER.readTree(text).path("error");
        }
        long seconds = retryAfter == null ? 0 : Long.parseLong(retryAfter);
        return new CallFailure(
                error.path("kind").asText("status_" + status),
                error.path("message").asText(text),
                error.path("not_run").asBoolean(false),
                TimeUnit.SECONDS.toMillis(seconds));
    }

    private static Either<CallFailure, Answer> readEvents(
            BufferedSource source, String headDurability) throws IOException {
        StringBuilder text = new StringBuilder();
        String durability = headDurability;
        String event = "";
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).trim();
            } else if (line.startsWith(": durability=")) {
                durability = line.substring(": durability=".length()).trim();
            } else if (line.startsWith("data:")) {
                String data = line.substring("data:".length()).trim();
                if (data.equals("[DONE]")) {
                    return Either.right(new Answer(text.toString(), durability));
                }
                if (event.equals("error")) {
                    return Either.left(parseFailure(0, data, null));
                }
                JsonNode delta = MAPPER.readTree(data).path("choices").path(0).path("delta");
                text.append(delta.path("content").asText(""));
            } else if (line.isEmpty()) {
                event = "";
            }
        }
        return Either.left(CallFailure.ofConnection("the stream ended without data: [DONE]"));
    }

    private String resolveAddress() {
        CachedAddress cached = mCachedAddress;
        if (cached != null && mTicker.readMillis() < cached.expiresAtMillis()) {
            return cached.address();
        }
        CachedAddress fetched = null;
        for (int i = 0; fetched == null && i < mEntryUrls.size(); i++) {
            int entry = Math.floorMod(mNextEntryIndex.getAndIncrement(), mEntryUrls.size());
            fetched = fetchAddress(mEntryUrls.get(entry));
        }
        mCachedAddress = fetched;
        return fetched == null ? null : fetched.address();
    }

    private CachedAddress fetchAddress(String entryUrl) {
        long nowMillis = mTicker.readMillis();
        Request request = new Request.Builder().url(entryUrl + "/v1/address").build();
        try (Response response = mHttp.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                return null;
            }
            JsonNode answer = MAPPER.readTree(response.body().string());
            String address = answer.path("address").asText();
            String url = address.startsWith("http") ? address : "http://" + address;
            return new CachedAddress(
                    url, nowMillis + 1_000 * answer.path("keep_seconds").asLong(1));
        } catch (IOException e) {
            return null;
        }
    }

    /** Discards the cached address, so that the next request queries a daemon for one. */
    public void discardAddress() {
        mCachedAddress = null;
    }

    /** Returns a new empty JSON object. */
    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
