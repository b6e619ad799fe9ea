package org.heathercourse.daemon.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;

/** Writes error responses to callers. Stateless. */
final class HttpErrors {
    private HttpErrors() {}

    static HeathercourseException badRequest(String message, String remedy) {
        return new HeathercourseException(ErrorKind.BAD_REQUEST, message, remedy);
    }

    /** Returns the JSON body of an error response. */
    static byte[] toJson(ErrorReply error) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.putObject("error")
                .put("kind", error.kind())
                .put("message", error.message())
                .put("remedy", error.remedy())
                .put("not_run", error.notRun());
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the server-sent event that reports an error within an event stream. */
    static byte[] toEvent(ErrorReply error) {
        String json = new String(toJson(error), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Writes a complete error response. */
    static void write(HttpServletResponse response, ErrorReply error) throws IOException {
        ErrorKind kind = ErrorKind.fromWireName(error.kind());
        response.setStatus(kind.httpStatus());
        response.setContentType("application/json");
        if (error.retryAfterMillis() > 0) {
            long seconds = (error.retryAfterMillis() + 999) / 1000;
            response.setHeader("Retry-After", Long.toString(seconds));
        }
        if (kind.httpStatus() == 401) {
            response.setHeader("WWW-Authenticate", "Bearer");
        }
        response.getOutputStream().write(toJson(error));
    }

    static void write(HttpServletResponse response, Throwable error) throws IOException {
        write(response, PeerErrors.toMessage(error));
    }
}
