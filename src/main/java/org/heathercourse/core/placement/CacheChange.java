package org.heathercourse.core.placement;

/**
 * A change in the prefix cache of an engine. Immutable.
 *
 * @param sequence sequence number of the event at its engine; a skipped number means a lost event
 * @param session name of the session whose cached prefix changed
 * @param cachedTokens tokens of the session now cached; 0 after an eviction or release
 */
public record CacheChange(long sequence, String session, long cachedTokens) {}
