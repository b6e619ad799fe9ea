package org.heathercourse.core.routing;

import java.util.List;

/**
 * What a new version of the configuration changes about who is let in. Immutable.
 *
 * @param openedRoutes names of the routes that needed a key before and need none now
 * @param lastKeyRemoved whether there was a valid key before and there is none now, though keys are
 *     needed
 */
public record AccessChange(List<String> openedRoutes, boolean lastKeyRemoved) {
    /** Copies the names. */
    public AccessChange {
        openedRoutes = List.copyOf(openedRoutes);
    }

    /**
     * Compares two versions of a configuration.
     *
     * @param before the version in force so far
     * @param after the version that replaces it
     */
    public static AccessChange between(RoutingTable before, RoutingTable after) {
        List<String> opened =
                after.routes().stream()
                        .filter(route -> !after.requiresKey(route) && isClosed(route, before))
                        .map(Route::name)
                        .toList();
        return new AccessChange(opened, before.hasKeys() && leavesNoKey(after));
    }

    private static boolean isClosed(Route route, RoutingTable before) {
        return before.routes().stream()
                .filter(other -> other.name().equals(route.name()))
                .anyMatch(before::requiresKey);
    }

    private static boolean leavesNoKey(RoutingTable after) {
        return !after.hasKeys() && after.hasRoute(after::requiresKey);
    }
}
