package org.heathercourse.core.load;

/**
 * Estimates how much of a prompt a target has to compute. Stateless.
 *
 * <p>Load pattern: prompts grow with each turn, and the target that ran the turns before has
 * computed all but the new input. If whole prompts counted there, the target would look overloaded
 * and its programs would move to targets that have to compute everything.
 */
public final class PromptWork {
    /** Bytes of text for each token. */
    private static final long BYTES_PER_TOKEN = 4;

    /** Divisor of prompts whose new part is unknown, for chains of a few turns. */
    private static final long UNKNOWN_INPUT_DIVISOR = 4;

    private PromptWork() {}

    /**
     * Returns the tokens to compute.
     *
     * @param promptTokens tokens of the whole prompt
     * @param atPreferredTarget whether the target is the one that ran the turns before
     * @param inputBytes bytes of the new input; negative if the body has the whole prompt
     */
    public static long tokens(long promptTokens, boolean atPreferredTarget, long inputBytes) {
        if (!atPreferredTarget) {
            return promptTokens;
        }
        return inputBytes < 0
                ? promptTokens / UNKNOWN_INPUT_DIVISOR
                : Math.min(promptTokens, inputBytes / BYTES_PER_TOKEN);
    }
}
