package org.heathercourse.core.routing;

import java.util.Set;

/**
 * The regions to whose targets a route or workspace allows requests to be sent. Immutable.
 *
 * <p>That all regions are allowed is a value of its own: a list from which the last region was
 * removed allows none.
 */
public final class AllowedRegions {
    /** All regions, and targets whose region is unknown. */
    public static final AllowedRegions ALL = new AllowedRegions(true, Set.of());

    private final boolean mAll;
    private final Set<String> mNames;

    private AllowedRegions(boolean all, Set<String> names) {
        mAll = all;
        mNames = names;
    }

    /** Returns a restriction to the named regions; without any name no region is allowed. */
    public static AllowedRegions only(Set<String> names) {
        return new AllowedRegions(false, Set.copyOf(names));
    }

    /** Returns whether there are regions to which no request may be sent. */
    public boolean isRestricted() {
        return !mAll;
    }

    /**
     * Returns whether requests may be sent to a region.
     *
     * @param name name of the region; null if it is unknown
     */
    public boolean contains(String name) {
        return mAll || name != null && mNames.contains(name);
    }

    @Override
    public String toString() {
        return mAll ? "all" : mNames.toString();
    }
}
