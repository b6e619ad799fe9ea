package org.heathercourse.testing.standin;

import java.util.List;

/**
 * Settings of the engine stand-ins. Immutable.
 *
 * @param msPerToken time to generate one token of a call, in milliseconds
 * @param prefillTokensPerSecond prefill rate, shared by all calls of the batch
 * @param maxBatch maximum number of concurrently running calls
 * @param cacheTokens capacity of the prefix cache, in tokens
 * @param lagMillis age of load reports and cache events, in milliseconds
 * @param resumeRetentionMillis time for which finished and suspended calls can be resumed, in
 *     milliseconds
 * @param models names of the loaded models; with an empty list, calls may name any model
 */
public record EngineSettings(
        double msPerToken,
        double prefillTokensPerSecond,
        int maxBatch,
        long cacheTokens,
        long lagMillis,
        long resumeRetentionMillis,
        List<String> models) {
    /** Settings for fast tests. */
    public static final EngineSettings DEFAULT =
            new EngineSettings(1.0, 200_000, 8, 200_000, 100, 60_000, List.of());

    /** Creates settings with a copy of the list of models. */
    public EngineSettings {
        models = List.copyOf(models);
    }

    /** Returns a copy with other generation and prefill rates. */
    public EngineSettings withSpeed(double newMsPerToken, double newPrefillTokensPerSecond) {
        return new EngineSettings(
                newMsPerToken,
                newPrefillTokensPerSecond,
                maxBatch,
                cacheTokens,
                lagMillis,
                resumeRetentionMillis,
                models);
    }

    /** Returns a copy with other batch and cache sizes. */
    public EngineSettings withSizes(int newMaxBatch, long newCacheTokens) {
        return new EngineSettings(
                msPerToken,
                prefillTokensPerSecond,
                newMaxBatch,
                newCacheTokens,
                lagMillis,
                resumeRetentionMillis,
                models);
    }

    /** Returns a copy with another lag of reports, in milliseconds. */
    public EngineSettings withLagMillis(long newLagMillis) {
        return new EngineSettings(
                msPerToken,
                prefillTokensPerSecond,
                maxBatch,
                cacheTokens,
                newLagMillis,
                resumeRetentionMillis,
                models);
    }

    /** Returns a copy with other models. */
    public EngineSettings withModels(List<String> newModels) {
        return new EngineSettings(
                msPerToken,
                prefillTokensPerSecond,
                maxBatch,
                cacheTokens,
                lagMillis,
                resumeRetentionMillis,
                newModels);
    }
}
