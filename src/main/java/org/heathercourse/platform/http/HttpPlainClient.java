package org.heathercourse.platform.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import okio.Okio;
import okio.Source;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;

/**
 * Forwards requests to plain services over HTTP. Bodies are streamed, requests are neither repeated
 * nor redirected, and hop-by-hop headers are removed. Safe for use by several threads.
 */
public final class HttpPlainClient implements PlainClient {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");
    // The library sets "Host" and "Content-Length" for the connection to the target. With "Expect"
    // it would wait for an interim response that not every service sends.
    private static final Set<String> REPLACED = Set.of("host", "content-length", "expect");

    private final HttpTransport mTransport;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     */
    public HttpPlainClient(HttpTransport transport) {
        mTransport = transport;
    }

    @Override
    public Response send(TargetAddress target, Request request) {
        HttpTransport.SentTracker tracker = new HttpTransport.SentTracker();
        Call call;
        try {
            call = mTransport.newCall(requestOf(target, request, tracker));
        } catch (IllegalArgumentException e) {
            throw new TargetException(
                    target,
                    new TargetFailure(
                            TargetFailure.Kind.NOT_SENT, 0, "the request is invalid: " + e));
        }
        call.timeout().timeout(request.timeoutMillis(), TimeUnit.MILLISECONDS);
        try {
            okhttp3.Response response = call.execute();
            return new Response(
                    response.code(),
                    endToEndHeaders(response.headers().toMultimap(), Set.of()),
                    body(response));
        } catch (IOException e) {
            throw new TargetException(target, TargetFailures.fromException(e, tracker));
        }
    }

    private static InputStream body(okhttp3.Response response) {
        InputStream body = response.body().byteStream();
        if (!HttpTransport.isFramed(response)) {
            body = new UnframedInputStream(body, response.request().url());
        }
        String type = response.header("Content-Type", "");
        return type.startsWith("text/event-stream") ? new WholeEventsInputStream(body) : body;
    }

    private static okhttp3.Request requestOf(
            TargetAddress target, Request request, HttpTransport.SentTracker tracker) {
        Headers.Builder headers = new Headers.Builder();
        endToEndHeaders(request.headers(), REPLACED)
                .forEach((name, values) -> values.forEach(v -> headers.addUnsafeNonAscii(name, v)));
        if (headers.get("Accept-Encoding") == null) {
            // By default the library requests compression and decompresses the body.
            headers.set("Accept-Encoding", "identity");
        }
        // The timeout of the whole exchange applies instead of one between bytes.
        HttpTransport.ReadTimeout noLimit = new HttpTransport.ReadTimeout(0);
        return new okhttp3.Request.Builder()
                .url(target.baseUrl() + request.pathAndQuery())
                .headers(headers.build())
                .tag(HttpTransport.SentTracker.class, tracker)
                .tag(HttpTransport.ReadTimeout.class, noLimit)
                .method(request.method(), bodyOf(request))
                .build();
    }

    private static RequestBody bodyOf(Request request) {
        boolean bodyPermitted = !Set.of("GET", "HEAD").contains(request.method());
        if (request.body() == null || request.bodyLength() == 0) {
            boolean bodyRequired = Set.of("POST", "PUT", "PATCH").contains(request.method());
            return bodyRequired ? RequestBody.create(new byte[0], null) : null;
        }
        if (!bodyPermitted) {
            throw new IllegalArgumentException(
                    "a " + request.method() + " request has a body, expected none");
        }
        return new StreamedBody(request.body(), request.bodyLength());
    }

    private static Map<String, List<String>> endToEndHeaders(
            Map<String, List<String>> headers, Set<String> alsoRemoved) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP);
        removed.addAll(alsoRemoved);
        headers.forEach(
                (name, values) -> {
                    if (name.equalsIgnoreCase("connection")) {
                        values.stream()
                                .flatMap(v -> Arrays.stream(v.split(",")))
                                .forEach(n -> removed.add(n.trim().toLowerCase(Locale.ROOT)));
                    }
                });
        Map<String, List<String>> kept = new LinkedHashMap<>();
        headers.forEach(
                (name, values) -> {
                    if (!removed.contains(name.toLowerCase(Locale.ROOT))) {
                        kept.put(name, new ArrayList<>(values));
                    }
                });
        return kept;
    }

    /** A body that is read once from a stream; the request's headers give its content type. */
    private static final class StreamedBody extends RequestBody {
        private final InputStream mInput;
        private final long mLength;

        StreamedBody(InputStream input, long length) {
            mInput = input;
            mLength = length;
        }

        @Override
        public MediaType contentType() {
            return null;
        }

        @Override
        public long contentLength() {
            return mLength;
        }

        @Override
        public boolean isOneShot() {
            return true;
        }

        @Override
        public void writeTo(BufferedSink sink) throws IOException {
            Source source = Okio.source(mInput);
            long read = source.read(sink.getBuffer(), 8_192);
            while (read != -1) {
                // Flushed after each chunk, as the next one may arrive much later.
                sink.flush();
                read = source.read(sink.getBuffer(), 8_192);
            }
        }
    }
}
