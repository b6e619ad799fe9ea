package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.ObjectStore;

/** Client of the object store over HTTP. Safe for use by several threads. */
public final class HttpObjectStore implements ObjectStore {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");

    private final StoreHttp mHttp;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     * @param baseUrl base URL of the service
     */
    public HttpObjectStore(HttpTransport transport, String baseUrl) {
        mHttp = new StoreHttp(transport, baseUrl, "object store");
    }

    /**
     * {@inheritDoc}
     *
     * @throws HeathercourseException with kind CONFLICT if the name holds other content
     */
    @Override
    public void put(String name, byte[] content) {
        HttpTransport.Reply reply =
                mHttp.send(
                        new Request.Builder()
                                .url(url(name))
                                .put(RequestBody.create(content, BYTES)));
        if (reply.status() == 409) {
            throw new HeathercourseException(
                    ErrorKind.CONFLICT,
                    "object " + name + " exists with other content, expected the same content",
                    "store other content under another name");
        }
        expect(reply, 200);
    }

    @Override
    public Optional<byte[]> get(String name) {
        HttpTransport.Reply reply = mHttp.send(new Request.Builder().url(url(name)));
        if (reply.status() == 404) {
            return Optional.empty();
        }
        expect(reply, 200);
        if (!reply.isFramed()) {
            throw mHttp.malformed(new IOException("nothing proves that the object is whole"));
        }
        return Optional.of(reply.body());
    }

    @Override
    public void delete(String name) {
        expect(mHttp.send(new Request.Builder().url(url(name)).delete()), 200);
    }

    @Override
    public List<String> list(String prefix) {
        HttpTransport.Reply reply =
                mHttp.send(
                        new Request.Builder()
                                .url(
                                        mHttp.url("objects")
                                                .addQueryParameter("prefix", prefix)
                                                .build()));
        expect(reply, 200);
        try {
            List<String> names = new ArrayList<>();
            for (JsonNode name : reply.json().path("names")) {
                names.add(name.asText());
            }
            return names;
        } catch (IOException e) {
            throw mHttp.malformed(e);
        }
    }

    private HttpUrl url(String name) {
        return mHttp.url("object").addQueryParameter("name", name).build();
    }

    private void expect(HttpTransport.Reply reply, int status) {
        if (reply.status() != status) {
            throw mHttp.unexpected(reply);
        }
    }
}
