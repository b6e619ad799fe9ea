package org.heathercourse.gateway.call;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.heathercourse.core.error.ErrorKind;

/**
 * An error response that the gateway sends in place of a target's response. Immutable.
 *
 * @param kind kind of the error, which determines the HTTP status
 * @param message cause of the error
 * @param remedy what the caller can do
 * @param retryAfterMillis value of the Retry-After header in milliseconds; 0 for no header
 */
public record ErrorResponse(ErrorKind kind, String message, String remedy, long retryAfterMillis) {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Returns an error response without a Retry-After header. */
    public static ErrorResponse of(ErrorKind kind, String message, String remedy) {
        return new ErrorResponse(kind, message, remedy, 0);
    }

    /** Returns the headers of the response. */
    HttpHeaders headers() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (retryAfterMillis > 0) {
            String seconds =
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return headers;
    }

    /** Returns the body of the response in JSON. */
    byte[] body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putObject("error")
                .put("kind", kind.wireName())
                .put("message", message)
                .put("remedy", remedy)
                .put("not_run", kind.notRunByDefault());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Writes the complete response. */
    public void writeTo(ResponseWriter writer) {
        byte[] body = body();
        writer.begin(kind.httpStatus(), "", headers(), body.length);
        writer.write(body);
        writer.end();
    }
}
