package org.heathercourse.core.routing;

import java.util.List;

/**
 * A rule that maps requests by host and path prefix to weighted services. Immutable.
 *
 * @param name name of the route
 * @param host host of the requests, in lower case
 * @param prefix prefix of the path
 * @param kind kind of the route, which decides whether requests may be repeated
 * @param services services and their weights; at least one
 * @param timeoutMillis maximum time until the end of an answer, in milliseconds
 * @param objectiveMillis latency objective of answers, in milliseconds
 * @param maxTargets maximum number of targets that one request may run on
 * @param priority priority of requests; 0 is served first
 * @param allowsAnonymous whether requests are accepted without a key
 * @param resumable whether an interrupted answer may be resumed after its last event
 * @param sessionAffinity whether requests that concern the same object go to the same target
 * @param retainsHistory whether requests carry only their new input, and the system keeps what came
 *     before
 * @param retentionMillis time for which a history is kept after its last turn, in milliseconds
 * @param allowedRegions regions to whose targets requests may be sent
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<ServiceWeight> services,
        long timeoutMillis,
        long objectiveMillis,
        int maxTargets,
        int priority,
        boolean allowsAnonymous,
        boolean resumable,
        boolean sessionAffinity,
        boolean retainsHistory,
        long retentionMillis,
        AllowedRegions allowedRegions) {
    /** Copies the services and rejects an empty list. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException(
                    "route " + name + " has no service, expected at least one");
        }
    }

    /** Returns whether a request of this route may be sent again after it may have run. */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Selects a service by weight.
     *
     * @param point number from 0 (inclusive) to 1 (exclusive); equal points select the same service
     */
    public String selectService(double point) {
        double total = 0;
        for (ServiceWeight weighted : services) {
            total += Math.max(0, weighted.weight());
        }
        double remaining = point * total;
        for (ServiceWeight weighted : services) {
            remaining -= Math.max(0, weighted.weight());
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /** Returns a builder with default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builder of a {@link Route}. Not thread-safe. */
    public static final class Builder {
        private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
        private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;
        private static final int DEFAULT_MAX_TARGETS = 2;
        private static final long DEFAULT_RETENTION_MILLIS = 60_000;

        private String mName = "";
        private String mHost = "";
        private String mPrefix = "/";
        private RouteKind mKind = RouteKind.NON_IDEMPOTENT;
        private List<ServiceWeight> mServices = List.of();
        private long mTimeoutMillis = DEFAULT_TIMEOUT_MILLIS;
        private long mObjectiveMillis = DEFAULT_OBJECTIVE_MILLIS;
        private int mMaxTargets = DEFAULT_MAX_TARGETS;
        private int mPriority;
        private boolean mOpen;
        private boolean mResumable;
        private boolean mSessionAffinity;
        private boolean mRetainsHistory;
        private long mRetentionMillis = DEFAULT_RETENTION_MILLIS;
        private AllowedRegions mAllowedRegions = AllowedRegions.ALL;

        private Builder() {}

        /** Sets the name of the route. */
        public Builder name(String name) {
            mName = name;
            return this;
        }

        /** Sets the host of the requests. */
        public Builder host(String host) {
            mHost = host;
            return this;
        }

        /** Sets the prefix of the path. */
        public Builder prefix(String prefix) {
            mPrefix = prefix;
            return this;
        }

        /** Sets the kind, which decides whether requests may be repeated. */
        public Builder kind(RouteKind kind) {
            mKind = kind;
            return this;
        }

        /** Sets the services and their weights. */
        public Builder services(List<ServiceWeight> services) {
            mServices = services;
            return this;
        }

        /** Sets the maximum time until the end of an answer, in milliseconds. */
        public Builder timeoutMillis(long timeoutMillis) {
            mTimeoutMillis = timeoutMillis;
            return this;
        }

        /** Sets the latency objective of answers, in milliseconds. */
        public Builder objectiveMillis(long objectiveMillis) {
            mObjectiveMillis = objectiveMillis;
            return this;
        }

        /** Sets the maximum number of targets that one request may run on. */
        public Builder maxTargets(int maxTargets) {
            mMaxTargets = maxTargets;
            return this;
        }

        /** Sets the priority of requests; 0 is served first. */
        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        /** Sets whether requests are accepted without a key. */
        public Builder allowsAnonymous(boolean open) {
            mOpen = open;
            return this;
        }

        /** Sets whether an interrupted answer may be resumed. */
        public Builder resumable(boolean resumable) {
            mResumable = resumable;
            return this;
        }

        /** Sets whether requests that concern the same object go to the same target. */
        public Builder sessionAffinity(boolean sessionAffinity) {
            mSessionAffinity = sessionAffinity;
            return this;
        }

        /** Sets whether the system keeps the histories of turns. */
        public Builder retainsHistory(boolean retainsHistory) {
            mRetainsHistory = retainsHistory;
            return this;
        }

        /** Sets the time for which a history is kept after its last turn, in milliseconds. */
        public Builder retentionMillis(long retentionMillis) {
            mRetentionMillis = retentionMillis;
            return this;
        }

        /** Sets the regions to whose targets requests may be sent; by default all. */
        public Builder allowedRegions(AllowedRegions regions) {
            mAllowedRegions = regions;
            return this;
        }

        /** Creates the route. */
        public Route build() {
            return new Route(
                    mName,
                    mHost,
                    mPrefix,
                    mKind,
                    mServices,
                    mTimeoutMillis,
                    mObjectiveMillis,
                    mMaxTargets,
                    mPriority,
                    mOpen,
                    mResumable,
                    mSessionAffinity,
                    mRetainsHistory,
                    mRetentionMillis,
                    mAllowedRegions);
        }
    }
}
