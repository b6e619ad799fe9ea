package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import okhttp3.Request;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.platform.VmList;

/** Client of the platform's list of VMs over HTTP. Safe for use by several threads. */
public final class HttpVmList implements VmList {
    private final StoreHttp mHttp;

    /**
     * Creates an adapter.
     *
     * @param transport shared connections
     * @param baseUrl base URL of the service
     */
    public HttpVmList(HttpTransport transport, String baseUrl) {
        mHttp = new StoreHttp(transport, baseUrl, "VM list");
    }

    @Override
    public List<Entry> list() {
        HttpTransport.Reply reply = mHttp.send(new Request.Builder().url(mHttp.url("vms").build()));
        if (reply.status() != 200) {
            throw mHttp.unexpected(reply);
        }
        try {
            List<Entry> entries = new ArrayList<>();
            for (JsonNode node : reply.json().path("vms")) {
                entries.add(
                        new Entry(
                                new VmId(node.path("vm").asText()),
                                node.path("incarnation").asLong(),
                                new Zone(node.path("zone").asText()),
                                State.valueOf(
                                        node.path("state").asText().toUpperCase(Locale.ROOT))));
            }
            return entries;
        } catch (IOException | IllegalArgumentException e) {
            throw mHttp.malformed(new IOException(e));
        }
    }
}
