package org.heathercourse.core.placement;

/**
 * Estimated cost of running a call at a target, in milliseconds. Immutable.
 *
 * @param waitMillis wait for a slot and for the prompts queued ahead
 * @param promptMillis time to compute the prompt tokens that are not cached
 * @param outputMillis time to generate the answer
 * @param linkMillis weighted delay, loss and price of the link
 * @param interferenceMillis total delay that the call causes to other calls at the target
 */
public record Estimate(
        double waitMillis,
        double promptMillis,
        double outputMillis,
        double linkMillis,
        double interferenceMillis) {
    /** Returns the estimated latency of the call in milliseconds. */
    public double latencyMillis() {
        return waitMillis + promptMillis + outputMillis;
    }

    /** Returns the total cost in milliseconds, which placement minimizes. */
    public double costMillis() {
        return latencyMillis() + linkMillis + interferenceMillis;
    }

    /** Returns a copy with the given milliseconds added to the prompt time and the link cost. */
    Estimate plusMillis(double extraPromptMillis, double extraLinkMillis) {
        return new Estimate(
                waitMillis,
                promptMillis + extraPromptMillis,
                outputMillis,
                linkMillis + extraLinkMillis,
                interferenceMillis);
    }
}
