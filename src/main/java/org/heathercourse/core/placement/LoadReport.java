package org.heathercourse.core.placement;

import java.util.List;

/**
 * Load of a target as it was when the report was made. Immutable.
 *
 * @param running calls in the running batch
 * @param queued calls that wait
 * @param queuedTokens prompt tokens of waiting calls that must be computed
 * @param cacheUsedTokens tokens held in the prefix cache
 * @param cacheCapacityTokens tokens that the prefix cache can hold
 * @param models names of the loaded models; empty if the target does not say
 * @param ageMillis age of the report in milliseconds when it was received
 */
public record LoadReport(
        int running,
        int queued,
        long queuedTokens,
        long cacheUsedTokens,
        long cacheCapacityTokens,
        List<String> models,
        long ageMillis) {
    /** Copies the list of models. */
    public LoadReport {
        models = models == null ? List.of() : List.copyOf(models);
    }
}
