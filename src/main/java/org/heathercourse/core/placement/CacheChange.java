package org.heathercourse.core.placement;

/**
 * A change of the prefix cache of an engine.
 *
 * @param sequence number of the event at its engine; a missing number is a gap
 * @param session session whose cache changed
 * @param cachedTokens tokens of the session now held; 0 if it was evicted or released
 */
public record CacheChange(long sequence, String session, long cachedTokens) {}
