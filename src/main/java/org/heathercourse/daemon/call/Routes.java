package org.heathercourse.daemon.call;

import java.util.Comparator;
import java.util.Optional;
import org.heathercourse.core.config.RouteSpec;
import org.heathercourse.core.config.ServiceSpec;

/** Matches plain requests against the declared routes of a service. */
public final class Routes {
    private Routes() {}

    /**
     * Returns the matching route with the longest path prefix.
     *
     * @param service the service
     * @param method HTTP method in upper case
     * @param pathAndQuery path below the service, starting with a slash
     * @return the route, or empty if none matches
     */
    public static Optional<RouteSpec> match(
            ServiceSpec service, String method, String pathAndQuery) {
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        return service.routes().stream()
                .filter(r -> covers(r.pathPrefix(), path))
                .filter(r -> r.methods().isEmpty() || r.methods().contains(method))
                .max(Comparator.comparingInt(r -> r.pathPrefix().length()));
    }

    /** A prefix covers whole path segments only, so that /pay does not match /payroll. */
    private static boolean covers(String prefix, String path) {
        return path.startsWith(prefix)
                && (prefix.endsWith("/")
                        || path.length() == prefix.length()
                        || path.charAt(prefix.length()) == '/');
    }
}
