package org.heathercourse.core.placement;

/** Action on the cached prefix of a session while its program runs a tool. */
public enum PauseCacheAction {
    /** Leave the cache at its target. */
    KEEP,
    /** Copy the cache to a target with free capacity, as its holder is likely to evict it. */
    EXPORT,
    /** Release the cache, as recomputing it costs less than holding it. */
    RELEASE
}
