package org.heathercourse.testing.bench;

/**
 * Speed and capacity of an {@link EngineModel}. Immutable.
 *
 * <p>A step takes {@code baseStepMillis + perSequenceMillis * generating + promptTokenMillis *
 * prompt tokens of the step}. A full batch of the default engine takes 32 ms per step without
 * prompts.
 *
 * @param maxRunning maximum number of calls in the running batch
 * @param baseStepMillis fixed time of a step
 * @param perSequenceMillis additional time of a step for each generating call
 * @param promptTokenMillis additional time of a step for each prompt token
 * @param maxStepPromptTokens maximum number of prompt tokens in a step
 * @param cacheTokens memory capacity in tokens, for running calls and idle prefixes together
 */
record EngineSpec(
        int maxRunning,
        double baseStepMillis,
        double perSequenceMillis,
        double promptTokenMillis,
        int maxStepPromptTokens,
        long cacheTokens) {
    static final EngineSpec DEFAULT = new EngineSpec(32, 24, 0.25, 0.02, 1_024, 400_000);

    /** Returns the engine time in milliseconds of a call with a cached prefix in a full batch. */
    double workMillis(double newTokens, double outputTokens) {
        return newTokens * promptTokenMillis
                + outputTokens * (baseStepMillis / maxRunning + perSequenceMillis);
    }

    /**
     * Returns the latency in milliseconds of a call with a cached prefix at an otherwise idle
     * engine.
     */
    double idleLatencyMillis(int newTokens, int outputTokens) {
        int steps = Math.max(1, (newTokens + maxStepPromptTokens - 1) / maxStepPromptTokens);
        return steps * baseStepMillis
                + newTokens * promptTokenMillis
                + (outputTokens - 1) * (baseStepMillis + perSequenceMillis);
    }
}
