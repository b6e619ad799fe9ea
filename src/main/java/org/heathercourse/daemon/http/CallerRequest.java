package org.heathercourse.daemon.http;

import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.daemon.call.HistoryMode;

/** Parses the headers and reads the bodies of caller requests. Stateless. */
final class CallerRequest {
    private static final long MAX_DEADLINE_MILLIS = 24L * 60 * 60 * 1000;

    private CallerRequest() {}

    /** Returns the program of the request, or null if it has none. */
    static ProgramId program(HttpServletRequest request) {
        return parseHeader(request, "X-Program-Id", ProgramId::new);
    }

    /** Returns the identity of the call from the idempotency key, or null if it has none. */
    static RequestId requestId(HttpServletRequest request) {
        return parseHeader(request, "Idempotency-Key", RequestId::new);
    }

    private static <T> T parseHeader(
            HttpServletRequest request, String name, Function<String, T> create) {
        String value = request.getHeader(name);
        return value == null || value.isEmpty() ? null : parse(name, value, create);
    }

    /** Creates an identity from its string form; reports a malformed one as a bad request. */
    static <T> T parse(String name, String value, Function<String, T> create) {
        try {
            return create.apply(value);
        } catch (IllegalArgumentException e) {
            throw HttpErrors.badRequest(name + ": " + e.getMessage(), "correct " + name);
        }
    }

    /** Returns the request class, by default {@link RequestClass#INTERACTIVE}. */
    static RequestClass requestClass(HttpServletRequest request) {
        String value = request.getHeader("X-Request-Class");
        if (value == null) {
            return RequestClass.INTERACTIVE;
        }
        return RequestClass.fromWireName(value.toLowerCase(Locale.ROOT))
                .orElseThrow(
                        () ->
                                HttpErrors.badRequest(
                                        "X-Request-Class is \"" + value + "\"",
                                        "use urgent, interactive or batch"));
    }

    /** Returns the history mode, by default {@link HistoryMode#FULL}. */
    static HistoryMode historyMode(HttpServletRequest request) {
        String value = request.getHeader("X-Program-History");
        if (value == null) {
            return HistoryMode.FULL;
        }
        return HistoryMode.fromWireName(value.toLowerCase(Locale.ROOT))
                .orElseThrow(
                        () ->
                                HttpErrors.badRequest(
                                        "X-Program-History is \"" + value + "\"",
                                        "use full or append"));
    }

    /** Returns the deadline in milliseconds, at most 24 hours, by default that of the class. */
    static long deadlineMillis(HttpServletRequest request, RequestClass requestClass) {
        String value = request.getHeader("X-Deadline-Ms");
        if (value == null) {
            return requestClass.defaultDeadlineMillis();
        }
        try {
            long millis = Long.parseLong(value.trim());
            if (millis > 0) {
                return Math.min(millis, MAX_DEADLINE_MILLIS);
            }
        } catch (NumberFormatException e) {
            throw invalidDeadline(value);
        }
        throw invalidDeadline(value);
    }

    private static HeathercourseException invalidDeadline(String value) {
        return HttpErrors.badRequest(
                "X-Deadline-Ms is \"" + value + "\"", "send a number of milliseconds from 1");
    }

    /** Returns the key in the {@code Authorization} header, or null if there is no header. */
    static String key(HttpServletRequest request) {
        String value = request.getHeader("Authorization");
        if (value == null) {
            return null;
        }
        int blank = value.indexOf(' ');
        return blank < 0 ? value : value.substring(blank + 1).trim();
    }

    /** Returns all headers; names are case-insensitive. */
    static Map<String, List<String>> headers(HttpServletRequest request) {
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : Collections.list(request.getHeaderNames())) {
            headers.put(name, Collections.list(request.getHeaders(name)));
        }
        return headers;
    }

    /**
     * Reads a complete body.
     *
     * @param limitBytes maximum size of the body in bytes
     * @throws HeathercourseException of kind {@code PAYLOAD_TOO_LARGE} if it exceeds the limit, of
     *     kind {@code REQUEST_TIMEOUT} if it ends early or does not arrive in time
     */
    static byte[] readBody(HttpServletRequest request, int limitBytes) {
        if (request.getContentLengthLong() > limitBytes) {
            throw bodyTooLarge(limitBytes);
        }
        byte[] body;
        try {
            body = request.getInputStream().readNBytes(limitBytes + 1);
        } catch (IOException e) {
            throw bodyIncomplete(e);
        }
        if (body.length > limitBytes) {
            throw bodyTooLarge(limitBytes);
        }
        return body;
    }

    private static HeathercourseException bodyIncomplete(IOException cause) {
        return HeathercourseException.builder(ErrorKind.REQUEST_TIMEOUT)
                .message("the body did not arrive completely")
                .remedy("send the request again with its complete body")
                .notRun(true)
                .cause(cause)
                .build();
    }

    /** Returns a body as a stream whose reads fail once it exceeds the limit in bytes. */
    static StreamedBody limitedBody(HttpServletRequest request, int limitBytes) throws IOException {
        if (request.getContentLengthLong() > limitBytes) {
            throw bodyTooLarge(limitBytes);
        }
        return new StreamedBody(request.getInputStream(), limitBytes);
    }

    private static HeathercourseException bodyTooLarge(int limitBytes) {
        return new HeathercourseException(
                ErrorKind.PAYLOAD_TOO_LARGE,
                "the body exceeds " + limitBytes + " bytes",
                "send a smaller body");
    }
}
