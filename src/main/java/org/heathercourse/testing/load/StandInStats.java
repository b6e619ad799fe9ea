package org.heathercourse.testing.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Client of the stand-ins' control port: reads counts and sets faults. Thread-safe. */
public final class StandInStats {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mHttp =
            new OkHttpClient.Builder().callTimeout(10, TimeUnit.SECONDS).build();
    private final String mControlUrl;

    /**
     * Creates a client.
     *
     * @param controlUrl base URL of the control port
     */
    public StandInStats(String controlUrl) {
        mControlUrl = controlUrl;
    }

    /**
     * Reads a resource of the control port.
     *
     * @param path path with query, such as {@code /stats}
     * @return the JSON body
     * @throws IOException if the stand-ins do not respond
     */
    public JsonNode read(String path) throws IOException {
        Request request = new Request.Builder().url(mControlUrl + path).build();
        try (Response response = mHttp.newCall(request).execute()) {
            return MAPPER.readTree(response.body().string());
        }
    }

    /**
     * Posts JSON to the control port.
     *
     * @param path path with query, such as {@code /faults}
     * @param json the body
     * @throws IOException if the stand-ins do not respond or reject the request
     */
    public void post(String path, String json) throws IOException {
        Request request =
                new Request.Builder()
                        .url(mControlUrl + path)
                        .post(RequestBody.create(json, JSON))
                        .build();
        send(request);
    }

    /**
     * Deactivates all faults.
     *
     * @throws IOException if the stand-ins do not respond
     */
    public void clearFaults() throws IOException {
        send(new Request.Builder().url(mControlUrl + "/faults").delete().build());
    }

    /**
     * Deactivates the faults of one part.
     *
     * @param part the part, such as {@code table}
     * @throws IOException if the stand-ins do not respond
     */
    public void clearFaults(String part) throws IOException {
        send(new Request.Builder().url(mControlUrl + "/faults?part=" + part).delete().build());
    }

    private void send(Request request) throws IOException {
        try (Response response = mHttp.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException(
                        request.url() + " answered " + response.code() + ", expected 2xx");
            }
        }
    }

    /**
     * Returns the number of tokens in the caches of all engines.
     *
     * @return the sum over all engines
     * @throws IOException if the stand-ins do not respond
     */
    public long heldCacheTokens() throws IOException {
        long sum = 0;
        for (JsonNode engineTokens : read("/stats").path("held_cache_tokens")) {
            sum += engineTokens.asLong();
        }
        return sum;
    }
}
