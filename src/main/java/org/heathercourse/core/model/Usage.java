package org.heathercourse.core.model;

/**
 * Token usage of a call. Immutable.
 *
 * @param promptTokens number of prompt tokens
 * @param completionTokens number of generated tokens
 * @param cachedTokens number of prompt tokens that the engine served from its prefix cache
 */
public record Usage(long promptTokens, long completionTokens, long cachedTokens) {
    /** No token usage. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /** Returns the number of tokens charged to a budget: prompt and completion. */
    public long totalTokens() {
        return promptTokens + completionTokens;
    }
}
