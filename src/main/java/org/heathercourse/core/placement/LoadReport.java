package org.heathercourse.core.placement;

import java.util.List;

/**
 * Load of a target at the time of the report. Immutable.
 *
 * @param running number of calls in the running batch
 * @param queued number of queued calls
 * @param queuedTokens uncached prompt tokens of the queued calls
 * @param cacheUsedTokens tokens in the prefix cache
 * @param cacheCapacityTokens capacity of the prefix cache in tokens
 * @param models names of the loaded models; empty if the target does not report them
 * @param ageMillis age of the report on receipt, in milliseconds
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
