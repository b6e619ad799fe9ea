package org.heathercourse.gateway.codec;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests to targets with the request target that the caller sent, byte for byte. The
 * decoder gives each of its bytes as one character; the library would write those above 0x7f as
 * UTF-8.
 */
public final class RequestEncoder extends HttpRequestEncoder {
    private static final byte[] LINE_END = {HttpConstants.CR, HttpConstants.LF};

    @Override
    protected void encodeInitialLine(ByteBuf line, HttpRequest request) {
        line.writeCharSequence(request.method().name(), StandardCharsets.US_ASCII);
        line.writeByte(HttpConstants.SP);
        line.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        line.writeByte(HttpConstants.SP);
        line.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        line.writeBytes(LINE_END);
    }
}
