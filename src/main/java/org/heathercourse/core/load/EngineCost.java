package org.heathercourse.core.load;

/**
 * Time that requests cost at a target of nominal speed. Stateless.
 *
 * <p>Engines compute prompts one after the other in chunks, and one output token of each running
 * request per step. A request therefore waits for all prompts that are not computed yet, and, if no
 * slot is free, for the share of the remaining output that must end before one becomes free.
 */
public final class EngineCost {
    /** Nominal rate at which a target computes prompt tokens, as in the target selection. */
    static final double PROMPT_TOKENS_PER_MILLI = 60;

    /** Nominal time of an output token of one request, in milliseconds. */
    static final double OUTPUT_TOKEN_MILLIS = 5;

    /** Output of a request that names none; gives it a nominal run time of 50 ms. */
    public static final long DEFAULT_OUTPUT_TOKENS = 10;

    private EngineCost() {}

    /**
     * Returns the run time of a request without others, in milliseconds.
     *
     * @param promptTokens tokens of the prompt
     * @param outputTokens maximum tokens of the output
     */
    public static double runMillis(long promptTokens, long outputTokens) {
        return promptTokens / PROMPT_TOKENS_PER_MILLI + outputTokens * OUTPUT_TOKEN_MILLIS;
    }

    /** Returns the time until a prompt is computed without others, in milliseconds. */
    public static double promptMillis(long promptTokens) {
        return promptTokens / PROMPT_TOKENS_PER_MILLI;
    }

    /**
     * Returns the wait of a further request, in milliseconds.
     *
     * @param work work at the target
     * @param slots number of requests that the target runs concurrently
     */
    public static double waitMillis(TargetWork work, int slots) {
        double promptMillis = promptMillis(work.promptTokens());
        long excess = work.requests() + 1 - slots;
        if (excess <= 0 || work.requests() == 0) {
            return promptMillis;
        }
        double outputMillis = work.outputTokens() * OUTPUT_TOKEN_MILLIS / slots;
        return promptMillis + outputMillis * excess / work.requests();
    }
}
