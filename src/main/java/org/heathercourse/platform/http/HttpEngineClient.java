package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;

/**
 * Client of model engines over HTTP: the chat-completions protocol with server-sent events, and
 * JSON calls for load, cache and orders. Each running stream occupies one thread of the transport.
 * Safe for use by several threads.
 */
public final class HttpEngineClient implements EngineClient {
    private final HttpTransport mTransport;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     */
    public HttpEngineClient(HttpTransport transport) {
        mTransport = transport;
    }

    @Override
    public Call generate(TargetAddress target, GenerateRequest request, Listener listener) {
        HttpTransport.SentTracker tracker = new HttpTransport.SentTracker();
        okhttp3.Call call;
        try {
            call = mTransport.newCall(chatRequest(target, request, tracker));
        } catch (TargetException | IllegalArgumentException e) {
            TargetFailure failure =
                    new TargetFailure(
                            TargetFailure.Kind.NOT_SENT, 0, "the request is invalid: " + e);
            mTransport.execute(() -> listener.onFailure(failure));
            return () -> {};
        }
        TokenStream stream = new TokenStream(call, tracker, request.resumeFromToken(), listener);
        stream.start();
        return stream;
    }

    private static Request chatRequest(
            TargetAddress target, GenerateRequest request, HttpTransport.SentTracker tracker) {
        int readTimeoutMillis = (int) Math.min(Integer.MAX_VALUE, request.timeoutMillis());
        return new Request.Builder()
                .url(url(target, "v1/chat/completions").build())
                .header("Accept", "text/event-stream")
                .header("X-Session-Id", request.session())
                .header("X-Call-Id", request.callId())
                .header("X-Resume-From", "" + request.resumeFromToken())
                .header("X-Priority", "" + request.priority())
                .header("X-Fencing-Token", "" + request.fence())
                .tag(HttpTransport.SentTracker.class, tracker)
                .tag(
                        HttpTransport.ReadTimeout.class,
                        new HttpTransport.ReadTimeout(readTimeoutMillis))
                .post(HttpTransport.jsonBody(chatBody(request)))
                .build();
    }

    @Override
    public Load load(TargetAddress target) {
        JsonNode node = exchange(target, new Request.Builder().url(url(target, "load").build()));
        List<String> models = new ArrayList<>();
        node.path("models").forEach(m -> models.add(m.asText()));
        return new Load(
                node.path("running").asInt(),
                node.path("queued").asInt(),
                node.path("queued_tokens").asLong(),
                node.path("cache_used_tokens").asLong(),
                node.path("cache_capacity_tokens").asLong(),
                models,
                node.path("age_ms").asLong());
    }

    @Override
    public List<CacheEvent> cacheEvents(TargetAddress target, long afterSequence) {
        HttpUrl url =
                url(target, "cache/events").addQueryParameter("after", "" + afterSequence).build();
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode node : exchange(target, new Request.Builder().url(url)).path("events")) {
            events.add(
                    new CacheEvent(
                            node.path("sequence").asLong(),
                            node.path("session").asText(),
                            node.path("cached_tokens").asLong()));
        }
        return events;
    }

    @Override
    public List<String> sessions(TargetAddress target) {
        HttpUrl url = url(target, "cache/sessions").build();
        List<String> sessions = new ArrayList<>();
        exchange(target, new Request.Builder().url(url))
                .path("sessions")
                .forEach(s -> sessions.add(s.asText()));
        return sessions;
    }

    @Override
    public void release(TargetAddress target, String session) {
        HttpUrl url = url(target, "cache/sessions").addQueryParameter("session", session).build();
        send(target, new Request.Builder().url(url).delete());
    }

    @Override
    public long migrate(TargetAddress from, TargetAddress to, String session) {
        ObjectNode export = HttpTransport.JSON.createObjectNode().put("session", session);
        JsonNode exported = post(from, "cache/export", export);
        ObjectNode transfer = HttpTransport.JSON.createObjectNode();
        transfer.put("session", session);
        transfer.put("handle", exported.path("handle").asText());
        return post(to, "cache/import", transfer).path("tokens").asLong();
    }

    @Override
    public void order(TargetAddress target, Order order) {
        ObjectNode body = HttpTransport.JSON.createObjectNode();
        body.put("kind", order.kind());
        body.put("subject", order.subject());
        body.put("fence", order.fence());
        send(
                target,
                new Request.Builder()
                        .url(url(target, "orders").build())
                        .header("X-Fencing-Token", "" + order.fence())
                        .post(HttpTransport.jsonBody(body)));
    }

    private JsonNode post(TargetAddress target, String path, JsonNode body) {
        RequestBody json = HttpTransport.jsonBody(body);
        return exchange(target, new Request.Builder().url(url(target, path).build()).post(json));
    }

    private JsonNode exchange(TargetAddress target, Request.Builder request) {
        HttpTransport.Reply reply = send(target, request);
        try {
            return reply.json();
        } catch (IOException e) {
            throw new TargetException(
                    target,
                    new TargetFailure(
                            TargetFailure.Kind.BROKEN, reply.status(), "malformed body: " + e));
        }
    }

    private HttpTransport.Reply send(TargetAddress target, Request.Builder request) {
        HttpTransport.SentTracker tracker = new HttpTransport.SentTracker();
        try {
            HttpTransport.Reply reply = mTransport.exchange(request, tracker);
            if (reply.status() >= 300) {
                throw new TargetException(target, TokenStream.failureOfStatus(reply));
            }
            return reply;
        } catch (IOException e) {
            throw new TargetException(target, TargetFailures.fromException(e, tracker));
        }
    }

    private static HttpUrl.Builder url(TargetAddress target, String path) {
        try {
            return HttpUrl.get(target.baseUrl()).newBuilder().addPathSegments(path);
        } catch (IllegalArgumentException e) {
            throw new TargetException(
                    target,
                    new TargetFailure(
                            TargetFailure.Kind.NOT_SENT, 0, "the base URL is invalid: " + e));
        }
    }

    private static ObjectNode chatBody(GenerateRequest request) {
        ObjectNode body = HttpTransport.JSON.createObjectNode();
        if (request.extraJson() != null && !request.extraJson().isBlank()) {
            try {
                if (HttpTransport.JSON.readTree(request.extraJson()) instanceof ObjectNode extra) {
                    body.setAll(extra);
                }
            } catch (IOException e) {
                throw new IllegalArgumentException(
                        "extraJson is malformed, expected a JSON object", e);
            }
        }
        body.put("model", request.model());
        body.put("max_tokens", request.maxTokens());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        ArrayNode messages = body.putArray("messages");
        for (ChatMessage message : request.messages()) {
            messages.addObject().put("role", message.role()).put("content", message.content());
        }
        return body;
    }
}
