package org.heathercourse.gateway.codec;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes the responses on one connection, and tells whether bytes follow a response at its end.
 *
 * <p>Bytes that complete no message are kept without a sign to the handlers behind, and would
 * become the start of the next response.
 */
public class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private HttpMethod mRequestMethod;

    /** Creates a decoder for responses to requests of other methods than HEAD. */
    public ResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Sets the method of the request that the next responses answer. */
    public void setRequestMethod(HttpMethod method) {
        mRequestMethod = method;
    }

    /** Returns the number of bytes that were received and belong to no message so far. */
    public final int unreadBytes() {
        return actualReadableBytes();
    }

    /**
     * Rejects a line without a colon and blanks behind a name. The library would drop the rest of
     * such a line, in which the status line of the next response may stand.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon follows the name of a header");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(mRequestMethod) || super.isContentAlwaysEmpty(message);
    }
}
