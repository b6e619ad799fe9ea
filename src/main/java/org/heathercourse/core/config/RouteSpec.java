package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.RetrySafety;

/**
 * A declared route of a plain service. The route with the longest matching prefix applies.
 * Immutable.
 *
 * @param pathPrefix prefix of the path below the service, starting with a slash
 * @param methods HTTP methods in upper case; empty for all
 * @param retrySafety whether calls on this route may be retried
 * @param openToAll whether calls are accepted without a key
 * @param timeoutMillis timeout of a call in milliseconds
 */
public record RouteSpec(
        String pathPrefix,
        List<String> methods,
        RetrySafety retrySafety,
        boolean openToAll,
        long timeoutMillis) {
    /** Copies the list of methods. */
    public RouteSpec {
        methods = methods == null ? List.of() : List.copyOf(methods);
    }
}
