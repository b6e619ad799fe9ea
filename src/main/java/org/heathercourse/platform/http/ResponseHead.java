package org.heathercourse.platform.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Rejects the head of a response that was cut and continued by another head. The library reads both
 * as one, with the status of the first and the body of the second. Stateless.
 */
final class ResponseHead {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

    private ResponseHead() {}

    /**
     * Passes a request on and checks the head of its response.
     *
     * @throws ProtocolException if the head contains a second status line
     */
    static Response requireSingle(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        if (containsSecondHead(response)) {
            response.close();
            throw new ProtocolException("the head of the response contains a second one");
        }
        return response;
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
