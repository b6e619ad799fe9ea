package org.heathercourse.gateway.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.heathercourse.platform.entry.CallFormat;
import org.heathercourse.platform.entry.Dispatch;

/**
 * Builds the request to a target from a caller's request: sets the content length, removes
 * hop-by-hop headers and replaces the headers that only the gateway may set.
 */
final class OutboundRequest {
    private OutboundRequest() {}

    /**
     * Returns the request to send to the target.
     *
     * @param request request of the caller
     * @param history bytes that precede the body of the caller's request; not copied
     * @param dispatch values of the gateway's headers
     * @param format headers of the platform
     */
    static FullHttpRequest build(
            CallRequest request, byte[] history, Dispatch dispatch, CallFormat format) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(request.headers());
        HopByHopHeaders.remove(headers);
        format.removeReserved(headers);
        format.write(headers, dispatch);
        HttpMethod method = HttpMethod.valueOf(request.method());
        boolean bodyExpected = !method.equals(HttpMethod.GET) && !method.equals(HttpMethod.HEAD);
        int bodyBytes = history.length + request.body().length;
        if (bodyBytes > 0 || bodyExpected) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                request.uri(),
                history.length == 0
                        ? Unpooled.wrappedBuffer(request.body())
                        : Unpooled.wrappedBuffer(history, request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
