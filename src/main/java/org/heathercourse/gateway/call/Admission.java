package org.heathercourse.gateway.call;

import io.vavr.control.Either;
import java.util.Optional;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.platform.entry.CallFacts;

/**
 * Checks that a request may run at all: configuration, route and key.
 *
 * @param routing configuration that decided
 * @param route route of the request
 * @param workspace workspace that it runs for; null on open routes
 */
record Admission(RoutingTable routing, Route route, Workspace workspace) {
    /** Time in milliseconds after which a gateway without a fresh configuration may have one. */
    private static final long STALE_RETRY_MILLIS = 600;

    static Either<ErrorResponse, Admission> check(
            CallDependencies dependencies, CallRequest request, CallFacts facts) {
        Optional<RoutingTable> routing = dependencies.clusterView().routing();
        if (routing.isEmpty()) {
            return Either.left(
                    new ErrorResponse(
                            ErrorKind.STALE_CONFIGURATION,
                            "no configuration is known yet",
                            "send the request again, best to another gateway",
                            STALE_RETRY_MILLIS));
        }
        if (facts.requestId() == null) {
            return Either.left(
                    ErrorResponse.of(
                            ErrorKind.BAD_REQUEST,
                            "the request has no identity",
                            "send an identity that differs for each attempt"));
        }
        return admit(dependencies, routing.get(), request, facts);
    }

    private static Either<ErrorResponse, Admission> admit(
            CallDependencies dependencies,
            RoutingTable routing,
            CallRequest request,
            CallFacts facts) {
        boolean fresh =
                dependencies
                        .configurationAge()
                        .isYoungerThan(dependencies.maxConfigurationAgeMillis());
        Optional<Route> route = routing.route(request.headers().get("Host"), request.uri());
        if (route.isEmpty()) {
            return Either.left(fresh ? unknownRoute(request) : stale());
        }
        if (route.get().allowsAnonymous() || !routing.requiresKeys()) {
            return Either.right(new Admission(routing, route.get(), null));
        }
        if (!fresh) {
            return Either.left(stale());
        }
        Optional<Workspace> workspace = routing.workspaceByKey(facts.key());
        if (workspace.isEmpty()) {
            return Either.left(
                    ErrorResponse.of(
                            ErrorKind.UNAUTHENTICATED,
                            "the key belongs to no workspace",
                            "ask the operator for a key that is in force"));
        }
        return Either.right(new Admission(routing, route.get(), workspace.get()));
    }

    private static ErrorResponse unknownRoute(CallRequest request) {
        return ErrorResponse.of(
                ErrorKind.UNKNOWN_ROUTE,
                "no route has host " + request.headers().get("Host") + " and this path",
                "check host and path, or ask the operator for a route");
    }

    private static ErrorResponse stale() {
        return new ErrorResponse(
                ErrorKind.STALE_CONFIGURATION,
                "the configuration is too old to honour keys",
                "send the request again, best to another gateway",
                STALE_RETRY_MILLIS);
    }

    /** Returns the priority for targets: the workspace's goes before the route's. */
    int priority() {
        int rank = route.priority();
        if (workspace != null && workspace.priority().isPresent()) {
            rank = workspace.priority().getAsInt();
        }
        return Math.max(0, Math.min(9, rank));
    }

    String workspaceName() {
        return workspace == null ? null : workspace.name();
    }
}
