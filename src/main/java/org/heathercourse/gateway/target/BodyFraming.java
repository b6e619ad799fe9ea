package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** How the end of a response's body is found. */
public enum BodyFraming {
    /** The response has no body. */
    NO_BODY(true),
    /** The header {@code Content-Length} gives the length. */
    LENGTH(true),
    /** The body is sent in chunks, of which the last one is empty. */
    CHUNKED(true),
    /** The body ends with the connection. */
    CONNECTION_END(false);

    private final boolean mKeepsConnection;

    BodyFraming(boolean keepsConnection) {
        mKeepsConnection = keepsConnection;
    }

    /** Returns whether another response can follow on the connection. */
    public boolean keepsConnection() {
        return mKeepsConnection;
    }

    /** Returns the name in logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the framing of the response to a request with the given method. */
    static BodyFraming of(HttpMethod method, HttpResponse response) {
        boolean isEmptyStatus =
                response.status().equals(HttpResponseStatus.NO_CONTENT)
                        || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        if (isEmptyStatus || HttpMethod.HEAD.equals(method)) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKED;
        }
        return response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                ? LENGTH
                : CONNECTION_END;
    }
}
