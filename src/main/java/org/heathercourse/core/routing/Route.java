package org.heathercourse.core.routing;

import java.util.List;

/**
 * A rule that sends requests of a host and path to services. Immutable.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param prefix beginning of the path
 * @param kind what may be repeated
 * @param services services and their weights; at least one
 * @param timeoutMillis longest time until the end of an answer, in milliseconds
 * @param objectiveMillis time in milliseconds within which an answer is on time
 * @param maxTargets most targets that one request may run on
 * @param priority rank; 0 is served first
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether an answer may be continued after one of its events
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
        boolean resumable) {
    /** Copies the list of services. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service, expected one");
        }
    }

    /** Returns whether a request of this route may be sent again after it may have run. */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param point number from 0 (inclusive) to 1 (exclusive); equal points give equal services
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

    /** Returns a builder with the defaults of a route. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the values of a {@link Route}. Not safe for several threads. */
    public static final class Builder {
        private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
        private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;
        private static final int DEFAULT_MAX_TARGETS = 2;

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

        private Builder() {}

        /** Sets the name of the route. */
        public Builder name(String name) {
            mName = name;
            return this;
        }

        /** Sets the host that requests name. */
        public Builder host(String host) {
            mHost = host;
            return this;
        }

        /** Sets the beginning of the path. */
        public Builder prefix(String prefix) {
            mPrefix = prefix;
            return this;
        }

        /** Sets what may be repeated. */
        public Builder kind(RouteKind kind) {
            mKind = kind;
            return this;
        }

        /** Sets the services. */
        public Builder services(List<ServiceWeight> services) {
            mServices = services;
            return this;
        }

        /** Sets the longest time until the end of an answer, in milliseconds. */
        public Builder timeoutMillis(long timeoutMillis) {
            mTimeoutMillis = timeoutMillis;
            return this;
        }

        /** Sets the time in milliseconds within which an answer is on time. */
        public Builder objectiveMillis(long objectiveMillis) {
            mObjectiveMillis = objectiveMillis;
            return this;
        }

        /** Sets the most targets that one request may run on. */
        public Builder maxTargets(int maxTargets) {
            mMaxTargets = maxTargets;
            return this;
        }

        /** Sets the rank. */
        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        /** Sets whether requests need no key. */
        public Builder allowsAnonymous(boolean open) {
            mOpen = open;
            return this;
        }

        /** Sets whether an answer may be continued. */
        public Builder resumable(boolean resumable) {
            mResumable = resumable;
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
                    mResumable);
        }
    }
}
