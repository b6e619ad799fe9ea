package org.heathercourse.core.placement;

/** What to do with the cache of a session while its program runs a tool. */
public enum PauseCacheAction {
    /** Leave the cache where it is. */
    KEEP,
    /** Copy the cache to a target with room, because the holder is likely to evict it. */
    EXPORT,
    /** Release the cache, because it costs less to compute again than to hold. */
    RELEASE
}
