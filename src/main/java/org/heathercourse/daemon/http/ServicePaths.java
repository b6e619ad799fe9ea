package org.heathercourse.daemon.http;

import java.util.Locale;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Brings the paths of plain requests into one form. Routes decide on keys and retries by prefix, so
 * a path must not mean one thing here and another at the target.
 */
final class ServicePaths {
    private static final String UNRESERVED_MARKS = "-._~";

    private ServicePaths() {}

    /**
     * Returns the path below a service in its canonical form.
     *
     * @param rawPath the path as sent, without query, starting with a slash
     * @return the path with escaped unreserved characters decoded
     * @throws HeathercourseException of kind BAD_REQUEST if targets could read the path differently
     */
    static String canonical(String rawPath) {
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
            throw ambiguous();
        }
        for (String segment : path.split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                throw ambiguous();
            }
        }
        return path;
    }

    private static String decodeUnreserved(String path) {
        StringBuilder out = new StringBuilder(path.length());
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c != '%') {
                out.append(c);
                continue;
            }
            int high = i + 2 < path.length() ? Character.digit(path.charAt(i + 1), 16) : -1;
            int low = i + 2 < path.length() ? Character.digit(path.charAt(i + 2), 16) : -1;
            if (high < 0 || low < 0) {
                throw ambiguous();
            }
            char decoded = (char) (high * 16 + low);
            boolean letter = decoded < 128 && Character.isLetterOrDigit(decoded);
            if (letter || UNRESERVED_MARKS.indexOf(decoded) >= 0) {
                out.append(decoded);
            } else {
                out.append(path, i, i + 3);
            }
            i += 2;
        }
        return out.toString();
    }

    private static HeathercourseException ambiguous() {
        return HttpErrors.badRequest(
                "the path has a dot segment, an empty segment or an escaped separator",
                "send a plain path");
    }
}
