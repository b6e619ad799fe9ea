package org.heathercourse.daemon.http;

import java.util.Locale;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Canonicalizes the paths of plain requests. The route, and with it the need for a key and the
 * retry safety, is selected by path prefix, so targets must not interpret a path differently.
 * Stateless.
 */
final class ServicePaths {
    private static final String UNRESERVED_MARKS = "-._~";

    private ServicePaths() {}

    /**
     * Returns the canonical form of a path below a service.
     *
     * @param rawPath the path as sent, without query, starting with a slash
     * @return the path with percent-encoded unreserved characters decoded
     * @throws HeathercourseException of kind {@code BAD_REQUEST} if targets could interpret the
     *     path differently
     */
    static String canonicalize(String rawPath) {
        String path = decodeUnreserved(rawPath.isEmpty() ? "/" : rawPath);
        String lower = path.toLowerCase(Locale.ROOT);
        if (path.contains("//")
                || path.indexOf(';') >= 0
                || path.indexOf('\\') >= 0
                || lower.contains("%2f")
                || lower.contains("%5c")
                || lower.contains("%3b")
                || lower.contains("%25")
                || lower.contains("%00")) {
            throw ambiguousPath();
        }
        for (String segment : path.split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                throw ambiguousPath();
            }
        }
        return path;
    }

    private static String decodeUnreserved(String path) {
        StringBuilder decodedPath = new StringBuilder(path.length());
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c != '%') {
                decodedPath.append(c);
                continue;
            }
            int high = i + 2 < path.length() ? Character.digit(path.charAt(i + 1), 16) : -1;
            int low = i + 2 < path.length() ? Character.digit(path.charAt(i + 2), 16) : -1;
            if (high < 0 || low < 0) {
                throw ambiguousPath();
            }
            char decoded = (char) (high * 16 + low);
            boolean letter = decoded < 128 && Character.isLetterOrDigit(decoded);
            if (letter || UNRESERVED_MARKS.indexOf(decoded) >= 0) {
                decodedPath.append(decoded);
            } else {
                decodedPath.append(path, i, i + 3);
            }
            i += 2;
        }
        return decodedPath.toString();
    }

    private static HeathercourseException ambiguousPath() {
        return HttpErrors.badRequest(
                "the path has a dot segment, an empty segment, a semicolon, a backslash or an"
                        + " invalid or ambiguous percent encoding",
                "send a path without them");
    }
}
