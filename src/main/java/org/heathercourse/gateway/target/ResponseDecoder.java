package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a target, and tells whether bytes follow a response at its end.
 *
 * <p>Bytes that complete no message are kept without a sign to the handlers behind, and would
 * become the start of the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private HttpMethod mRequestMethod;

    ResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Sets the method of the request that the next responses answer. */
    void setRequestMethod(HttpMethod method) {
        mRequestMethod = method;
    }

    /** Returns the number of bytes that were received and belong to no message so far. */
    int unreadBytes() {
        return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(mRequestMethod) || super.isContentAlwaysEmpty(message);
    }
}
