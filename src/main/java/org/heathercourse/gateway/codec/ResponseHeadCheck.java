package org.heathercourse.gateway.codec;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognises heads that consist of the start of one response and the rest of another.
 *
 * <p>A server that stops within a second response and then answers the next request leaves such a
 * head: the status of the first, and the headers and the body of the second. Where the cut falls
 * into the reason phrase or the value of a header, the result is valid HTTP.
 */
public final class ResponseHeadCheck {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHeadCheck() {}

    /**
     * Returns whether the head contains the status line of another response, or a status outside
     * 100 to 599, which digits of two responses can form.
     */
    public static boolean isMixed(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
            return true;
        }
        if (hasStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (hasStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
