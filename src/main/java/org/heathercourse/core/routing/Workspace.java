package org.heathercourse.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer with its keys and its rate. Immutable; {@link #toString()} omits the keys.
 *
 * @param name name of the workspace, which is sent to targets
 * @param keys keys that authenticate callers of the workspace
 * @param priority priority that overrides that of the route; empty if the route decides
 * @param ratePerSecond requests per second over all VMs; 0 means no limit
 * @param burst additional requests that may arrive at once
 * @param allowedRegions regions to whose targets requests may be sent
 */
public record Workspace(
        String name,
        Set<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        AllowedRegions allowedRegions) {
    /** Copies the keys. */
    public Workspace {
        keys = Set.copyOf(keys);
    }

    /** Creates a workspace whose requests may be sent to all regions. */
    public Workspace(
            String name,
            Set<String> keys,
            OptionalInt priority,
            double ratePerSecond,
            double burst) {
        this(name, keys, priority, ratePerSecond, burst, AllowedRegions.ALL);
    }

    /** Returns whether a rate limit applies to the workspace. */
    public boolean hasRateLimit() {
        return ratePerSecond > 0;
    }

    @Override
    public String toString() {
        return "Workspace[" + name + ", " + keys.size() + " keys]";
    }
}
