package org.heathercourse.gateway.call;

import io.vavr.control.Either;
import java.util.Optional;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.routing.KeyVerdict;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.platform.entry.CallFacts;

/**
 * The result of the admission check of a request: it has a route, and a valid key if the route
 * requires one. Immutable.
 *
 * @param routing configuration that was in force during the check
 * @param route route of the request
 * @param workspace workspace of the caller's key; null if the route requires no key
 */
record Admission(RoutingTable routing, Route route, Workspace workspace) {
    /** Retry-After in milliseconds: a gateway usually reads a fresh configuration within it. */
    private static final long STALE_CONFIGURATION_RETRY_AFTER_MILLIS = 600;

    static Either<ErrorResponse, Admission> check(
            CallDependencies dependencies, CallRequest request, CallFacts facts) {
        Optional<RoutingTable> routing = dependencies.clusterView().routing();
        if (routing.isEmpty()) {
            return Either.left(
                    new ErrorResponse(
                            ErrorKind.STALE_CONFIGURATION,
                            "the gateway has not read a configuration yet",
                            "retry the request, preferably at another gateway",
                            STALE_CONFIGURATION_RETRY_AFTER_MILLIS));
        }
        if (facts.requestId() == null) {
            return Either.left(
                    ErrorResponse.of(
                            ErrorKind.BAD_REQUEST,
                            "the request has no request id",
                            "send a request id that is unique for each attempt"));
        }
        return authenticate(dependencies, routing.get(), request, facts);
    }

    private static Either<ErrorResponse, Admission> authenticate(
            CallDependencies dependencies,
            RoutingTable routing,
            CallRequest request,
            CallFacts facts) {
        boolean isFresh = isConfigurationFresh(dependencies);
        Optional<Route> route = routeOf(routing, request);
        if (route.isEmpty()) {
            return Either.left(isFresh ? unknownRoute(request) : staleConfiguration());
        }
        KeyVerdict verdict = KeyVerdict.of(routing, route.get(), facts.key(), isFresh);
        Optional<ErrorResponse> refusal = refusal(verdict);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        Workspace workspace =
                verdict == KeyVerdict.VALID
                        ? routing.workspaceByKey(facts.key()).orElseThrow()
                        : null;
        return Either.right(new Admission(routing, route.get(), workspace));
    }

    /**
     * Checks the key again after the request has waited, by the configuration in force now. The
     * gateway may have been suspended meanwhile, or the key withdrawn.
     *
     * @return the response to a request that may not be sent to a target any more; empty if it may
     */
    Optional<ErrorResponse> refusalAfterWait(
            CallDependencies dependencies, CallRequest request, CallFacts facts) {
        RoutingTable current = dependencies.clusterView().routing().orElse(routing);
        // A request whose route was removed after its admission still runs.
        Route currentRoute = current == routing ? route : routeOf(current, request).orElse(route);
        return refusal(
                KeyVerdict.ofWaiting(
                        current,
                        currentRoute,
                        facts.key(),
                        isConfigurationFresh(dependencies),
                        workspace));
    }

    private static boolean isConfigurationFresh(CallDependencies dependencies) {
        long maxAgeMillis = dependencies.maxConfigurationAgeMillis().getAsLong();
        return dependencies.configurationAge().isYoungerThan(maxAgeMillis);
    }

    private static Optional<Route> routeOf(RoutingTable routing, CallRequest request) {
        return routing.route(request.headers().get("Host"), request.uri());
    }

    private static Optional<ErrorResponse> refusal(KeyVerdict verdict) {
        return switch (verdict) {
            case NOT_NEEDED, VALID -> Optional.empty();
            case INVALID -> Optional.of(invalidKey());
            case UNCERTAIN -> Optional.of(staleConfiguration());
        };
    }

    private static ErrorResponse invalidKey() {
        return ErrorResponse.of(
                ErrorKind.UNAUTHENTICATED,
                "the key is missing or belongs to no workspace",
                "send a valid key of a workspace, or ask the operator for one");
    }

    private static ErrorResponse unknownRoute(CallRequest request) {
        return ErrorResponse.of(
                ErrorKind.UNKNOWN_ROUTE,
                "no route matches host " + request.headers().get("Host") + " and this path",
                "check the host and the path, or ask the operator for a route");
    }

    private static ErrorResponse staleConfiguration() {
        return new ErrorResponse(
                ErrorKind.STALE_CONFIGURATION,
                "the gateway's configuration is too old to validate keys",
                "retry the request, preferably at another gateway",
                STALE_CONFIGURATION_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the priority that targets see, from 0 (highest) to 9. The priority of the workspace
     * overrides that of the route.
     */
    int priority() {
        int priority = route.priority();
        if (workspace != null && workspace.priority().isPresent()) {
            priority = workspace.priority().getAsInt();
        }
        return Math.max(0, Math.min(9, priority));
    }

    String workspaceName() {
        return workspace == null ? null : workspace.name();
    }
}
