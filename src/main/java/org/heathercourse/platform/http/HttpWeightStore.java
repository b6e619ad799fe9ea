package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import okhttp3.Request;
import org.heathercourse.platform.WeightStore;

/** Client of the store of model weights over HTTP. Safe for use by several threads. */
public final class HttpWeightStore implements WeightStore {
    private final StoreHttp mHttp;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     * @param baseUrl base URL of the service
     */
    public HttpWeightStore(HttpTransport transport, String baseUrl) {
        mHttp = new StoreHttp(transport, baseUrl, "weight store");
    }

    @Override
    public Status status() {
        HttpTransport.Reply reply =
                mHttp.send(new Request.Builder().url(mHttp.url("status").build()));
        if (reply.status() != 200) {
            throw mHttp.unexpected(reply);
        }
        try {
            JsonNode node = reply.json();
            return new Status(
                    node.path("bytes_per_second").asLong(), node.path("active_fetches").asInt());
        } catch (IOException e) {
            throw mHttp.malformed(e);
        }
    }
}
