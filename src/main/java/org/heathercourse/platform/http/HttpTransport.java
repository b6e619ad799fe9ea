package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * The HTTP client that the HTTP adapters share.
 *
 * <p>A connection carries one exchange: a reply does not name its request, so that a late copy of
 * an earlier reply would be taken for the reply to the next request.
 *
 * <p>The library neither repeats requests nor follows redirects: a repeat could run a
 * non-idempotent request twice. Safe for use by several threads. Closing it cancels all exchanges.
 */
public final class HttpTransport implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final MediaType JSON_TYPE = MediaType.get("application/json");

    private static final String HIDDEN_RETRY_AFTER = "X-Held-Retry-After";

    private final OkHttpClient mTargetClient;
    private final OkHttpClient mClient;
    private final ExecutorService mExecutor;
    private final HttpSettings mSettings;

    /**
     * Creates a transport.
     *
     * @param settings timeouts and pool sizes
     */
    public HttpTransport(HttpSettings settings) {
        mSettings = settings;
        AtomicInteger threads = new AtomicInteger();
        mExecutor =
                new ThreadPoolExecutor(
                        0,
                        Integer.MAX_VALUE,
                        30,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        task -> {
                            Thread thread = new Thread(task, "http-" + threads.incrementAndGet());
                            thread.setDaemon(true);
                            return thread;
                        });
        Dispatcher dispatcher = new Dispatcher(mExecutor);
        // Requests are admitted before they reach the transport. A second limit here would queue
        // them without regard to their deadlines.
        dispatcher.setMaxRequests(Integer.MAX_VALUE);
        dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
        mTargetClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        // Keeps no idle connection, so that each exchange opens its own.
                        .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                        .connectTimeout(settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .readTimeout(settings.readTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .writeTimeout(settings.writeTimeoutMillis(), TimeUnit.MILLISECONDS)
                        .protocols(List.of(Protocol.HTTP_1_1))
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .followSslRedirects(false)
                        .eventListenerFactory(HttpTransport::listenerOf)
                        .addInterceptor(HttpTransport::restoreRetryAfter)
                        .addInterceptor(HttpTransport::applyReadTimeout)
                        .addNetworkInterceptor(HttpTransport::hideRetryAfter)
                        .addNetworkInterceptor(ResponseHead::requireValid)
                        .build();
        mClient = mTargetClient.newBuilder().socketFactory(new ResettingSocketFactory()).build();
    }

    @Override
    public void close() {
        mClient.dispatcher().cancelAll();
        mExecutor.shutdown();
    }

    /** Records whether any byte of a request may have been sent. */
    static final class SentTracker extends EventListener {
        private volatile boolean mSent;

        @Override
        public void requestHeadersStart(Call call) {
            mSent = true;
        }

        boolean sent() {
            return mSent;
        }
    }

    /**
     * Read timeout of one request, in place of the one of the settings.
     *
     * @param millis maximum time between two bytes of the response in milliseconds; 0 for no limit
     */
    record ReadTimeout(int millis) {}

    /**
     * A whole response.
     *
     * @param status HTTP status
     * @param body the body
     * @param isFramed whether a length or chunks prove that the body is whole; otherwise it ended
     *     with its connection, and may have been cut
     */
    record Reply(int status, byte[] body, boolean isFramed) {
        /**
         * Parses a JSON object, whose last byte proves that the body is whole.
         *
         * @throws IOException if the body is empty or anything else
         */
        JsonNode json() throws IOException {
            JsonNode node = JSON.readTree(body);
            if (node == null || !node.isObject()) {
                throw new IOException("the body is not a JSON object");
            }
            return node;
        }
    }

    /** Prepares a request whose answer goes to a caller. */
    Call newCall(Request request) {
        return mTargetClient.newCall(request);
    }

    /** Runs a task on a thread of the transport. */
    void execute(Runnable task) {
        mExecutor.execute(task);
    }

    /** Sends a request and blocks until the whole response is read. */
    Reply exchange(Request.Builder request, SentTracker tracker) throws IOException {
        Call call = mClient.newCall(request.tag(SentTracker.class, tracker).build());
        call.timeout().timeout(mSettings.callTimeoutMillis(), TimeUnit.MILLISECONDS);
        try (Response response = call.execute()) {
            byte[] body = response.body().bytes();
            return new Reply(response.code(), body, isFramed(response));
        }
    }

    /** Returns whether a length or chunks give the end of a body. */
    static boolean isFramed(Response response) {
        // Of the response as received: the library drops the length of a body that it decodes.
        Response received = response.networkResponse();
        return received.header("Content-Length") != null
                || "chunked".equalsIgnoreCase(received.header("Transfer-Encoding"));
    }

    /** Encodes a JSON body. */
    static RequestBody jsonBody(JsonNode node) {
        try {
            return RequestBody.create(JSON.writeValueAsBytes(node), JSON_TYPE);
        } catch (IOException e) {
            throw new IllegalStateException("JSON tree could not be written", e);
        }
    }

    private static EventListener listenerOf(Call call) {
        SentTracker tracker = call.request().tag(SentTracker.class);
        return tracker == null ? EventListener.NONE : tracker;
    }

    private static Response applyReadTimeout(Interceptor.Chain chain) throws IOException {
        ReadTimeout timeout = chain.request().tag(ReadTimeout.class);
        if (timeout == null) {
            return chain.proceed(chain.request());
        }
        return chain.withReadTimeout(timeout.millis(), TimeUnit.MILLISECONDS)
                .proceed(chain.request());
    }

    /**
     * Renames the header {@code Retry-After} while OkHttp handles the response: OkHttp repeats a
     * request that was answered with 503 and {@code Retry-After: 0}, even one that must not be
     * repeated.
     */
    private static Response hideRetryAfter(Interceptor.Chain chain) throws IOException {
        return renameHeader(chain.proceed(chain.request()), "Retry-After", HIDDEN_RETRY_AFTER);
    }

    private static Response restoreRetryAfter(Interceptor.Chain chain) throws IOException {
        return renameHeader(chain.proceed(chain.request()), HIDDEN_RETRY_AFTER, "Retry-After");
    }

    private static Response renameHeader(Response response, String from, String to) {
        String value = response.header(from);
        if (value == null) {
            return response;
        }
        return response.newBuilder().removeHeader(from).header(to, value).build();
    }
}
