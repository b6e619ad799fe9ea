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
 * A caller: asks any daemon which address to use, keeps the answer, and asks another daemon when
 * that address fails.
 *
 * <p>Safe for use by several threads.
 */
public final class CallerClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long READ_TIMEOUT_SECONDS = 30;

    private final List<String> mEntries;
    private final AtomicInteger mNextEntry;
    private final OkHttpClient mHttp;
    private final Ticker mTicker = Ticker.system();
    private volatile Kept mKept;

    /** An address with the time until which it is kept. */
    private record Kept(String address, long untilMillis) {}

    /**
     * Creates a caller.
     *
     * @param entries base URLs of daemons that may be asked for an address
     * @param firstEntry which of them is asked first
     */
    public CallerClient(List<String> entries, int firstEntry) {
        mEntries = List.copyOf(entries);
        mNextEntry = new AtomicInteger(firstEntry);
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
     * An answer.
     *
     * @param text the answer's text: content of a model answer, or the body of a plain one
     * @param durability durability as the daemon stated it; empty if it stated none
     */
    public record Answer(String text, String durability) {}

    /**
     * Sends a JSON request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param key the caller's key
     * @param body JSON body; null for none
     * @param headers names and values of further headers in turn
     * @return the answer, or how the attempt failed
     */
    public Either<CallFailure, Answer> send(
            String method, String path, String key, String body, String... headers) {
        String address = address();
        if (address == null) {
            return Either.left(CallFailure.connection("no daemon told an address"));
        }
        Request.Builder request = new Request.Builder().url(address + path);
        request.header("Authorization", "Bearer " + key);
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        boolean bodiless = body == null && (method.equals("GET") || method.equals("DELETE"));
        request.method(
                method, bodiless ? null : RequestBody.create(body == null ? "" : body, JSON));
        try (Response response = mHttp.newCall(request.build()).execute()) {
            return read(response);
        } catch (IOException e) {
            mKept = null;
            return Either.left(CallFailure.connection(e.toString()));
        }
    }

    private Either<CallFailure, Answer> read(Response response) throws IOException {
        String type = response.header("Content-Type", "");
        String durability = response.header("X-Durability", "");
        if (response.isSuccessful() && type.startsWith("text/event-stream")) {
            return readEvents(response.body().source(), durability);
        }
        String text = response.body().string();
        if (response.isSuccessful()) {
            return Either.right(new Answer(text, durability));
        }
        return Either.left(failure(response.code(), text, response.header("Retry-After")));
    }

    private static CallFailure failure(int status, String text, String retryAfter)
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
                    return Either.left(failure(0, data, null));
                }
                JsonNode delta = MAPPER.readTree(data).path("choices").path(0).path("delta");
                text.append(delta.path("content").asText(""));
            } else if (line.isEmpty()) {
                event = "";
            }
        }
        return Either.left(CallFailure.connection("the stream ended without its last event"));
    }

    private String address() {
        Kept known = mKept;
        if (known != null && mTicker.readMillis() < known.untilMillis()) {
            return known.address();
        }
        Kept fresh = null;
        for (int i = 0; fresh == null && i < mEntries.size(); i++) {
            int entry = Math.floorMod(mNextEntry.getAndIncrement(), mEntries.size());
            fresh = ask(mEntries.get(entry));
        }
        mKept = fresh;
        return fresh == null ? null : fresh.address();
    }

    private Kept ask(String entry) {
        long now = mTicker.readMillis();
        Request request = new Request.Builder().url(entry + "/v1/address").build();
        try (Response response = mHttp.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                return null;
            }
            JsonNode answer = MAPPER.readTree(response.body().string());
            String address = answer.path("address").asText();
            String url = address.startsWith("http") ? address : "http://" + address;
            return new Kept(url, now + 1_000 * answer.path("keep_seconds").asLong(1));
        } catch (IOException e) {
            return null;
        }
    }

    /** Forgets the address, so that the next request asks for one. */
    public void forgetAddress() {
        mKept = null;
    }

    /** Returns an empty JSON object to be filled. */
    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
