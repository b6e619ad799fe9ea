package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.ServiceId;

/**
 * A declared service. Immutable.
 *
 * @param service identity of the service
 * @param kind kind of the service
 * @param models models of the service; empty for plain services
 * @param routes routes of a plain service; empty for model services
 */
public record ServiceSpec(
        ServiceId service, ServiceKind kind, List<ModelSpec> models, List<RouteSpec> routes) {
    /** Copies the lists. */
    public ServiceSpec {
        models = models == null ? List.of() : List.copyOf(models);
        routes = routes == null ? List.of() : List.copyOf(routes);
    }
}
