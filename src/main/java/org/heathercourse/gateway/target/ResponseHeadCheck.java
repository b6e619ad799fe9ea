package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;
import org.heathercourse.platform.entry.AnswerFacts;

/**
 * Recognises heads that consist of the start of one response and the rest of another.
 *
 * <p>A target that stops within a second answer and then answers the next request leaves such a
 * head: the status of the first, and the identity, signature and body of the second. Where the cut
 * falls into the reason phrase or the value of a header, the result is valid HTTP.
 */
final class ResponseHeadCheck {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHeadCheck() {}

    /** Returns whether the head contains the status line of another response or a header twice. */
    static boolean isMixed(HttpResponse response, AnswerFacts facts) {
        if (facts.ambiguous() || hasStatusLine(response.status().reasonPhrase())) {
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
