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
 * An answer of the gateway's own that tells why a request has no answer of a target. Immutable.
 *
 * @param kind what happened
 * @param message what was met and what was expected
 * @param remedy what the caller can do
 * @param retryAfterMillis time after which a new attempt may succeed; 0 if none is known
 */
public record ErrorResponse(ErrorKind kind, String message, String remedy, long retryAfterMillis) {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Returns a refusal without a time to return. */
    public static ErrorResponse of(ErrorKind kind, String message, String remedy) {
        return new ErrorResponse(kind, message, remedy, 0);
    }

    /** Returns the headers of the answer. */
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

    /** Returns the body of the answer. */
    byte[] body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putObject("error")
                .put("kind", kind.wireName())
                .put("message", message)
                .put("remedy", remedy)
                .put("not_run", kind.notRunByDefault());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Writes the whole answer. */
    public void writeTo(ResponseWriter caller) {
        byte[] body = body();
        caller.begin(kind.httpStatus(), "", headers(), body.length);
        caller.write(body);
        caller.end();
    }
}
