package org.heathercourse.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Lookup table for the routes, services and workspaces of one configuration version.
 *
 * <p>Immutable and thread-safe.
 */
public final class RoutingTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, Service> mServices;
    private final Map<String, Workspace> mWorkspaces;
    private final Map<String, Workspace> mWorkspacesByKey;
    private final CallerLimits mLimits;
    private final KeyPolicy mKeyPolicy;
    private final List<String> mProblems;

    private RoutingTable(Builder builder) {
        mVersion = builder.mVersion;
        mLimits = builder.mLimits;
        mKeyPolicy = builder.mKeyPolicy;
        mProblems = List.copyOf(builder.mProblems);
        mServices = Map.copyOf(builder.mServices);
        mWorkspaces = Map.copyOf(builder.mWorkspaces);
        mWorkspacesByKey = new HashMap<>();
        for (Workspace workspace : mWorkspaces.values()) {
            for (String key : workspace.keys()) {
                mWorkspacesByKey.put(key, workspace);
            }
        }
        mRoutesByHost = new HashMap<>();
        for (Route route : builder.mRoutes) {
            mRoutesByHost
                    .computeIfAbsent(normalizedHostName(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        // The longest prefixes come first, so the first match is the longest.
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> -route.prefix().length());
        mRoutesByHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return mRoutesByHost.values().stream().flatMap(List::stream).toList();
    }

    /** Returns whether some route retains the histories of its turns. */
    public boolean retainsHistories() {
        return hasRoute(Route::retainsHistory);
    }

    /** Returns the version of the configuration; higher versions are newer. */
    public long version() {
        return mVersion;
    }

    /** Returns the parts of the configuration that could not be read, and so permit nothing. */
    public List<String> problems() {
        return mProblems;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns whether a request on a route needs a key of a workspace. */
    public boolean requiresKey(Route route) {
        return mKeyPolicy.requiresKey(route);
    }

    /** Returns whether a route fulfils a condition. */
    public boolean hasRoute(Predicate<Route> condition) {
        return mRoutesByHost.values().stream().flatMap(List::stream).anyMatch(condition);
    }

    /** Returns whether some workspace has a key. */
    public boolean hasKeys() {
        return !mWorkspacesByKey.isEmpty();
    }

    /** Returns all workspaces. */
    public Collection<Workspace> workspaces() {
        return mWorkspaces.values();
    }

    /** Returns all services. */
    public Collection<Service> services() {
        return mServices.values();
    }

    /** Returns the service with the given name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the workspace with the given name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(mWorkspaces.get(name));
    }

    /** Returns the workspace that owns a key; empty if the key is null or unknown. */
    public Optional<Workspace> workspaceByKey(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /**
     * Returns the route with the longest prefix that matches the path.
     *
     * @param host the {@code Host} header, with or without a port; null matches no route
     * @param uri the path and query of the request; the query is ignored
     */
    public Optional<Route> route(String host, String uri) {
        if (host == null) {
            return Optional.empty();
        }
        List<Route> routes = mRoutesByHost.get(normalizedHostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        for (Route route : routes) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalizedHostName(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns a builder of an empty table.
     *
     * @param version version of the configuration
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Builder of a {@link RoutingTable}. Not thread-safe. */
    public static final class Builder {
        private final long mVersion;
        private final List<Route> mRoutes = new ArrayList<>();
        private final Map<String, Service> mServices = new HashMap<>();
        private final Map<String, Workspace> mWorkspaces = new HashMap<>();
        private CallerLimits mLimits = CallerLimits.DEFAULTS;
        private KeyPolicy mKeyPolicy = KeyPolicy.KEYS_REQUIRED;
        private final List<String> mProblems = new ArrayList<>();

        private Builder(long version) {
            mVersion = version;
        }

        /** Adds a route. */
        public Builder route(Route route) {
            mRoutes.add(route);
            return this;
        }

        /** Adds a service; a later one with the same name replaces it. */
        public Builder service(Service service) {
            mServices.put(service.name(), service);
            return this;
        }

        /** Adds a workspace; a later one with the same name replaces it. */
        public Builder workspace(Workspace workspace) {
            mWorkspaces.put(workspace.name(), workspace);
            return this;
        }

        /** Sets the limits for callers. */
        public Builder limits(CallerLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets which requests need a key; by default all that are not on public routes. */
        public Builder keyPolicy(KeyPolicy keyPolicy) {
            mKeyPolicy = keyPolicy;
            return this;
        }

        /** Records a part of the configuration that could not be read. */
        public Builder problem(String problem) {
            mProblems.add(problem);
            return this;
        }

        /** Creates the table. */
        public RoutingTable build() {
            return new RoutingTable(this);
        }
    }
}
