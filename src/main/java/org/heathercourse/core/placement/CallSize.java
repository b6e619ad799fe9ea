package org.heathercourse.core.placement;

/**
 * Estimated size and urgency of a call that has not run. Immutable.
 *
 * @param promptTokens estimated tokens of the whole prompt, cached ones included
 * @param expectedTokens estimated tokens of the answer; 0 for calls of plain services
 * @param urgent whether the call is served before queued calls of other classes
 */
public record CallSize(long promptTokens, long expectedTokens, boolean urgent) {}
