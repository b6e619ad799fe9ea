package org.heathercourse.platform.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Rejects heads of responses that the library accepts and that are none of HTTP. Stateless.
 *
 * <p>A head that was cut and continued by another one is read as one, with the status of the first
 * and the body of the second. A status may be any three characters that the library can parse as a
 * number; one below 200 would count as a success wherever only failures are looked for.
 */
final class ResponseHead {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

    private ResponseHead() {}

    /**
     * Passes a request on and checks the head of its response.
     *
     * @throws ProtocolException if the head contains a second status line, or its status is none of
     *     a final response
     */
    static Response requireValid(Interceptor.Chain chain) throws IOException {
        Response response = proceed(chain);
        if (containsSecondHead(response)) {
            response.close();
            throw new ProtocolException("the head of the response contains a second one");
        }
        if (!hasFinalStatus(response)) {
            response.close();
            throw new ProtocolException(
                    "the response has status "
                            + response.code()
                            + ", expected "
                            + MIN_FINAL_STATUS
                            + " to "
                            + MAX_STATUS);
        }
        return response;
    }

    private static Response proceed(Interceptor.Chain chain) throws IOException {
        try {
            return chain.proceed(chain.request());
        } catch (IllegalStateException e) {
            // The library parses a status with a sign and cannot represent a negative one.
            IOException failure = new ProtocolException("the head of the response is invalid");
            failure.initCause(e);
            throw failure;
        }
    }

    private static boolean hasFinalStatus(Response response) {
        return response.code() >= MIN_FINAL_STATUS && response.code() <= MAX_STATUS;
    }

    private static boolean containsSecondHead(Response response) {
        Headers headers = response.headers();
        boolean found = containsStatusLine(response.message());
        for (int i = 0; i < headers.size() && !found; i++) {
            found = !isValidName(headers.name(i)) || containsStatusLine(headers.value(i));
        }
        return found;
    }

    /** The library gives a line without a colon an empty name. */
    private static boolean isValidName(String name) {
        return !name.isEmpty() && name.indexOf(' ') < 0;
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
