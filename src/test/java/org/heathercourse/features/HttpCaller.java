package org.heathercourse.features;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** An HTTP client for scenarios that also generates unique program ids. Thread-safe. */
final class HttpCaller {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String CHAT = "/v1/chat/completions";
    private static final AtomicLong PROGRAMS = new AtomicLong();

    private final OkHttpClient mHttp;
    private final String mUrl;

    /** An HTTP response. */
    record Reply(int status, String body) {
        JsonNode error() throws IOException {
            return JSON.readTree(body).path("error");
        }
    }

    HttpCaller(String url) {
        this(url, new OkHttpClient.Builder().readTimeout(20, TimeUnit.SECONDS).build());
    }

    HttpCaller(String url, OkHttpClient http) {
        mUrl = url;
        mHttp = http;
    }

    static String newProgram() {
        return "feature-" + PROGRAMS.incrementAndGet();
    }

    /** Returns the body of a model call whose answer has a number of filler words. */
    static String chat(String program, int turn, int words, boolean stream) {
        String prompt =
                String.format(
                        "[[program=%s turn=%d budget=10000 out=%d]] plan a warp",
                        program, turn, words);
        return JSON.createObjectNode()
                .put("model", "planner-large")
                .put("stream", stream)
                .put("max_tokens", 100)
                .set(
                        "messages",
                        JSON.createArrayNode()
                                .add(
                                        JSON.createObjectNode()
                                                .put("role", "user")
                                                .put("content", prompt)))
                .toString();
    }

    /** Sends a request; {@code headers} are alternating names and values. */
    Reply send(String method, String path, String key, String body, String... headers)
            throws IOException {
        Request.Builder request = new Request.Builder().url(mUrl + path);
        if (key != null) {
            request.header("Authorization", "Bearer " + key);
        }
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        request.method(
                method,
                body == null ? null : RequestBody.create(body, MediaType.get("application/json")));
        try (Response response = mHttp.newCall(request.build()).execute()) {
            return new Reply(response.code(), response.body().string());
        }
    }
}
