package org.heathercourse.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration in the form in which requests are looked up.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RoutingTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, Service> mServices;
    private final Map<String, Workspace> mWorkspaces;
    private final Map<String, Workspace> mWorkspacesByKey;
    private final CallerLimits mLimits;

    private RoutingTable(Builder builder) {
        mVersion = builder.mVersion;
        mLimits = builder.mLimits;
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
                    .computeIfAbsent(hostName(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        // Sorted so that the first match is the longest one.
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> -route.prefix().length());
        mRoutesByHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    /** Returns the version; a higher one is newer. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns whether requests of routes that are not open need a key. */
    public boolean requiresKeys() {
        return !mWorkspaces.isEmpty();
    }

    /** Returns all workspaces. */
    public Collection<Workspace> workspaces() {
        return mWorkspaces.values();
    }

    /** Returns all services. */
    public Collection<Service> services() {
        return mServices.values();
    }

    /** Returns the service of a name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the workspace of a name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(mWorkspaces.get(name));
    }

    /** Returns the workspace that holds a key. */
    public Optional<Workspace> workspaceByKey(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /**
     * Returns the route with the longest prefix that begins the path.
     *
     * @param host the {@code Host} header, with or without a port
     * @param uri the request target; its query is not looked at
     */
    public Optional<Route> route(String host, String uri) {
        if (host == null) {
            return Optional.empty();
        }
        List<Route> routes = mRoutesByHost.get(hostName(host));
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

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns a builder of a version.
     *
     * @param version number of the version
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Collects the parts of a {@link RoutingTable}. Not safe for several threads. */
    public static final class Builder {
        private final long mVersion;
        private final List<Route> mRoutes = new ArrayList<>();
        private final Map<String, Service> mServices = new HashMap<>();
        private final Map<String, Workspace> mWorkspaces = new HashMap<>();
        private CallerLimits mLimits = CallerLimits.DEFAULTS;

        private Builder(long version) {
            mVersion = version;
        }

        /** Adds a route. */
        public Builder route(Route route) {
            mRoutes.add(route);
            return this;
        }

        /** Adds a service. */
        public Builder service(Service service) {
            mServices.put(service.name(), service);
            return this;
        }

        /** Adds a workspace. */
        public Builder workspace(Workspace workspace) {
            mWorkspaces.put(workspace.name(), workspace);
            return this;
        }

        /** Sets the limits for callers. */
        public Builder limits(CallerLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Creates the table. */
        public RoutingTable build() {
            return new RoutingTable(this);
        }
    }
}
