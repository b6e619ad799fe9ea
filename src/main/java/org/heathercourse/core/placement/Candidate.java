package org.heathercourse.core.placement;

/**
 * A target that may run a call. Immutable.
 *
 * @param snapshot what is known about the target
 * @param cachedTokens prompt tokens that it is believed to hold
 * @param sourceTokens tokens of the session that the best other holder has; 0 if there is none
 * @param sourceLink link between the best other holder and the target
 */
public record Candidate(
        TargetSnapshot snapshot, double cachedTokens, double sourceTokens, LinkCost sourceLink) {}
