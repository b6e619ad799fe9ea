package org.heathercourse.testing.standin;

import java.util.List;

/**
 * Settings of the engine stand-ins. Immutable.
 *
 * @param msPerToken time for each generated token of a call, in milliseconds
 * @param prefillTokensPerSecond prompt tokens computed in a second, shared by the batch
 * @param maxBatch most calls that run at the same time
 * @param cacheTokens tokens that the prefix cache can hold
 * @param lagMillis age of load reports and cache events, in milliseconds
 * @param keepMillis time for which finished and suspended calls can be resumed, in milliseconds
 * @param models names of the loaded models; an empty list accepts any name
 */
public record EngineSettings(
        double msPerToken,
        double prefillTokensPerSecond,
        int maxBatch,
        long cacheTokens,
        long lagMillis,
        long keepMillis,
        List<String> models) {
    /** Settings with which tests are fast. */
    public static final EngineSettings DEFAULT =
            new EngineSettings(1.0, 200_000, 8, 200_000, 100, 60_000, List.of());

    /** Copies the list of models. */
    public EngineSettings {
        models = List.copyOf(models);
    }

    /** Returns a copy with other speeds. */
    public EngineSettings withSpeed(double newMsPerToken, double newPrefillTokensPerSecond) {
        return new EngineSettings(
                newMsPerToken,
                newPrefillTokensPerSecond,
                maxBatch,
                cacheTokens,
                lagMillis,
                keepMillis,
                models);
    }

    /** Returns a copy with other sizes. */
    public EngineSettings withSizes(int newMaxBatch, long newCacheTokens) {
        return new EngineSettings(
                msPerToken,
                prefillTokensPerSecond,
                newMaxBatch,
                newCacheTokens,
                lagMillis,
                keepMillis,
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
                keepMillis,
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
                keepMillis,
                newModels);
    }
}
