package org.heathercourse.core.placement;

/**
 * Size of a call as far as it is known before it runs. Immutable.
 *
 * @param promptTokens tokens of the whole prompt
 * @param expectedTokens tokens of the answer
 * @param urgent whether the call overtakes waiting calls
 */
public record CallShape(long promptTokens, long expectedTokens, boolean urgent) {}
