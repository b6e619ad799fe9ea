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

/** Reads the counts of the stand-ins and switches their faults. Safe for use by several threads. */
public final class StandInStats {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mHttp =
            new OkHttpClient.Builder().callTimeout(10, TimeUnit.SECONDS).build();
    private final String mControlUrl;

    /**
     * Creates a reader.
     *
     * @param controlUrl address of the stand-ins' control port
     */
    public StandInStats(String controlUrl) {
        mControlUrl = controlUrl;
    }

    /**
     * Reads a page of the control port.
     *
     * @param path the page, for instance {@code /stats}
     * @return its JSON
     * @throws IOException if the stand-ins do not answer
     */
    public JsonNode read(String path) throws IOException {
        Request request = new Request.Builder().url(mControlUrl + path).build();
        try (Response response = mHttp.newCall(request).execute()) {
            return MAPPER.readTree(response.body().string());
        }
    }

    /**
     * Sends a JSON body to a page of the control port.
     *
     * @param path the page, for instance {@code /faults}
     * @param json the body
     * @throws IOException if the stand-ins do not answer or refuse
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
     * Switches all faults off.
     *
     * @throws IOException if the stand-ins do not answer
     */
    public void clearFaults() throws IOException {
        send(new Request.Builder().url(mControlUrl + "/faults").delete().build());
    }

    /**
     * Switches the faults of one part off.
     *
     * @param part the part, for instance {@code table}
     * @throws IOException if the stand-ins do not answer
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
     * Returns the tokens that all engines hold in their caches.
     *
     * @return the sum over all engines
     * @throws IOException if the stand-ins do not answer
     */
    public long heldCacheTokens() throws IOException {
        long sum = 0;
        for (JsonNode held : read("/stats").path("held_cache_tokens")) {
            sum += held.asLong();
        }
        return sum;
    }
}
