package org.heathercourse.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer with its keys and its rate. Immutable; {@link #toString()} shows no key.
 *
 * @param name name of the workspace, as targets see it
 * @param keys keys that callers may show
 * @param priority rank that goes before the rank of a route, if there is one
 * @param ratePerSecond requests per second over all VMs; 0 means no limit
 * @param burst requests beyond the rate that may come at once
 */
public record Workspace(
        String name, Set<String> keys, OptionalInt priority, double ratePerSecond, double burst) {
    /** Copies the keys. */
    public Workspace {
        keys = Set.copyOf(keys);
    }

    /** Returns whether the workspace has a rate. */
    public boolean hasRateLimit() {
        return ratePerSecond > 0;
    }

    @Override
    public String toString() {
        return "Workspace[" + name + ", " + keys.size() + " keys]";
    }
}
