package org.heathercourse.core.model;

/**
 * Tokens that a call used.
 *
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param cachedTokens tokens of the prompt that the engine found in its prefix cache
 */
public record Usage(long promptTokens, long completionTokens, long cachedTokens) {
    /** No tokens at all. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /** Returns the tokens that count against a budget: prompt and completion. */
    public long totalTokens() {
        return promptTokens + completionTokens;
    }
}
