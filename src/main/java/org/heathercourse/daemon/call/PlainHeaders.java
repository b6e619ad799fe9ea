package org.heathercourse.daemon.call;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Filters and builds the headers of plain requests and answers. */
public final class PlainHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect",
                    "host",
                    "http2-settings");
    private static final Set<String> CREDENTIALS =
            Set.of("authorization", "proxy-authorization", "x-api-key", "api-key", "cookie");
    private static final Set<String> DAEMON_HEADERS =
            Set.of(
                    "x-program-id",
                    "x-request-id",
                    "x-workspace-id",
                    "x-fencing-token",
                    "x-request-class",
                    "x-deadline-ms",
                    "x-program-history",
                    "x-durability",
                    "x-zone",
                    "idempotency-key");

    private PlainHeaders() {}

    /**
     * Returns the headers of a caller's request that are sent to a target.
     *
     * @param headers all headers of the request
     * @param key the caller's key; headers that contain it are removed; null if there is none
     * @return the headers without credentials, hop-by-hop headers and those that the daemon sets
     */
    public static Map<String, List<String>> filterRequestHeaders(
            Map<String, List<String>> headers, String key) {
        Map<String, List<String>> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, values) -> {
                    String lowerName = name.toLowerCase(Locale.ROOT);
                    boolean holdsKey =
                            key != null
                                    && !key.isEmpty()
                                    && values.stream().anyMatch(v -> v.contains(key));
                    if (!HOP_BY_HOP.contains(lowerName)
                            && !CREDENTIALS.contains(lowerName)
                            && !DAEMON_HEADERS.contains(lowerName)
                            && !holdsKey) {
                        kept.put(name, List.copyOf(values));
                    }
                });
        return kept;
    }

    /** Returns the headers of an answer that are sent to the caller. */
    static Map<String, List<String>> filterResponseHeaders(Map<String, List<String>> headers) {
        Map<String, List<String>> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, values) -> {
                    String lowerName = name.toLowerCase(Locale.ROOT);
                    if (!HOP_BY_HOP.contains(lowerName) && !DAEMON_HEADERS.contains(lowerName)) {
                        kept.put(name, List.copyOf(values));
                    }
                });
        return kept;
    }

    /** Returns the headers of an attempt. */
    static Map<String, List<String>> buildTargetHeaders(CallRequest request, long fence) {
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.putAll(filterRequestHeaders(request.headers(), null));
        put(headers, "X-Program-Id", request.program());
        put(headers, "X-Request-Id", request.request());
        put(headers, "X-Workspace-Id", request.workspace());
        if (fence > 0) {
            put(headers, "X-Fencing-Token", fence);
        }
        return headers;
    }

    /** Returns the content type; {@code application/octet-stream} if there is none. */
    static String contentType(Map<String, List<String>> headers) {
        return headers.entrySet().stream()
                .filter(e -> e.getKey().equalsIgnoreCase("Content-Type"))
                .flatMap(e -> e.getValue().stream())
                .findFirst()
                .orElse("application/octet-stream");
    }

    private static void put(Map<String, List<String>> headers, String name, Object value) {
        if (value != null) {
            headers.put(name, List.of(value.toString()));
        }
    }
}
