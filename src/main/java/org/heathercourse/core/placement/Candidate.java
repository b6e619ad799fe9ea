package org.heathercourse.core.placement;

/**
 * A target that is considered for a call. Immutable.
 *
 * @param snapshot estimated state of the target
 * @param cachedTokens tokens of the session estimated to be cached at the target
 * @param sourceTokens tokens of the session cached at the migration source, the other holder with
 *     the most of them; 0 if there is none
 * @param sourceLink link from the migration source to the target
 */
public record Candidate(
        TargetSnapshot snapshot, double cachedTokens, double sourceTokens, LinkCost sourceLink) {}
