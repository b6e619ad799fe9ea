package org.heathercourse.testing.bench;

/**
 * Speed and size of an {@link EngineModel}.
 *
 * <p>A step takes {@code baseStepMillis + perSequenceMillis * generating + promptTokenMillis *
 * prompt tokens of the step}; a full batch of the default engine takes 32 ms a step without
 * prompts.
 *
 * @param slots calls in the running batch at most
 * @param baseStepMillis time of a step apart from its calls
 * @param perSequenceMillis time of a step for each call that generates
 * @param promptTokenMillis time of a step for each prompt token
 * @param stepPromptTokens prompt tokens of a step at most
 * @param cacheTokens tokens that the memory holds, for running calls and idle prefixes together
 */
record EngineSpec(
        int slots,
        double baseStepMillis,
        double perSequenceMillis,
        double promptTokenMillis,
        int stepPromptTokens,
        long cacheTokens) {
    static final EngineSpec DEFAULT = new EngineSpec(32, 24, 0.25, 0.02, 1_024, 400_000);

    /** Engine time of a call in a full batch whose prefix is cached, in milliseconds. */
    double workMillis(double newTokens, double outputTokens) {
        return newTokens * promptTokenMillis
                + outputTokens * (baseStepMillis / slots + perSequenceMillis);
    }

    /** Latency of a call alone at an engine whose prefix is cached, in milliseconds. */
    double aloneMillis(int newTokens, int outputTokens) {
        int steps = Math.max(1, (newTokens + stepPromptTokens - 1) / stepPromptTokens);
        return steps * baseStepMillis
                + newTokens * promptTokenMillis
                + (outputTokens - 1) * (baseStepMillis + perSequenceMillis);
    }
}
