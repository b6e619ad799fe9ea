package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Hop-by-hop headers: they apply to one connection and are not forwarded. */
final class HopByHopHeaders {
    private static final List<CharSequence> NAMES =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    "Proxy-Connection",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT,
                    HttpHeaderNames.CONTENT_LENGTH);

    private HopByHopHeaders() {}

    /** Removes the hop-by-hop headers, including those named in the {@code Connection} header. */
    static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(name.trim());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
