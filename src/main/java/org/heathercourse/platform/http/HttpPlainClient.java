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
 * Plain services over HTTP. Bodies are streamed, nothing is repeated or redirected, and headers
 * that concern one connection only are not passed on. Safe for use by several threads.
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
    // Set anew for the connection to the target. With "Expect" the library would wait for an
    // interim answer that not every service sends.
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
                    target, new TargetFailure(TargetFailure.Kind.NOT_SENT, 0, "bad request: " + e));
        }
        call.timeout().timeout(request.timeoutMillis(), TimeUnit.MILLISECONDS);
        try {
            okhttp3.Response response = call.execute();
            return new Response(
                    response.code(),
                    passedOn(response.headers().toMultimap(), Set.of()),
                    response.body().byteStream());
        } catch (IOException e) {
            throw new TargetException(target, Failures.of(e, tracker));
        }
    }

    private static okhttp3.Request requestOf(
            TargetAddress target, Request request, HttpTransport.SentTracker tracker) {
        Headers.Builder headers = new Headers.Builder();
        passedOn(request.headers(), REPLACED)
                .forEach((name, values) -> values.forEach(v -> headers.addUnsafeNonAscii(name, v)));
        if (headers.get("Accept-Encoding") == null) {
            // Without this the library asks for compression and changes the body on the way.
            headers.set("Accept-Encoding", "identity");
        }
        // The limit of the whole exchange applies instead of one between bytes.
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
        boolean permitted = !Set.of("GET", "HEAD").contains(request.method());
        if (request.body() == null || request.bodyLength() == 0) {
            boolean required = Set.of("POST", "PUT", "PATCH").contains(request.method());
            return required ? RequestBody.create(new byte[0], null) : null;
        }
        if (!permitted) {
            throw new IllegalArgumentException(
                    "a " + request.method() + " request has a body, expected none");
        }
        return new StreamedBody(request.body(), request.bodyLength());
    }

    private static Map<String, List<String>> passedOn(
            Map<String, List<String>> headers, Set<String> alsoDropped) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        dropped.addAll(alsoDropped);
        headers.forEach(
                (name, values) -> {
                    if (name.equalsIgnoreCase("connection")) {
                        values.stream()
                                .flatMap(v -> Arrays.stream(v.split(",")))
                                .forEach(n -> dropped.add(n.trim().toLowerCase(Locale.ROOT)));
                    }
                });
        Map<String, List<String>> kept = new LinkedHashMap<>();
        headers.forEach(
                (name, values) -> {
                    if (!dropped.contains(name.toLowerCase(Locale.ROOT))) {
                        kept.put(name, new ArrayList<>(values));
                    }
                });
        return kept;
    }

    /** A body that is read once from a stream; its type is among the headers. */
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
                // Each piece is passed on at once, as the rest may come much later.
                sink.flush();
                read = source.read(sink.getBuffer(), 8_192);
            }
        }
    }
}
