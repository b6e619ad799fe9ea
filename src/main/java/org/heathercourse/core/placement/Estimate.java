package org.heathercourse.core.placement;

/**
 * Expected cost of running a call at a target, in milliseconds. Immutable.
 *
 * @param waitMillis wait for a slot and for the prompts ahead
 * @param promptMillis computing the prompt tokens that are not cached
 * @param outputMillis generating the answer
 * @param linkMillis delay, loss and price of the link
 * @param otherMillis time by which the call slows down the others at the target
 */
public record Estimate(
        double waitMillis,
        double promptMillis,
        double outputMillis,
        double linkMillis,
        double otherMillis) {
    /** Returns the expected latency of the call itself. */
    public double latencyMillis() {
        return waitMillis + promptMillis + outputMillis;
    }

    /** Returns the cost that placement minimises. */
    public double costMillis() {
        return latencyMillis() + linkMillis + otherMillis;
    }

    /** Returns a copy with a longer prompt phase and another link cost. */
    Estimate plus(double extraPromptMillis, double extraLinkMillis) {
        return new Estimate(
                waitMillis,
                promptMillis + extraPromptMillis,
                outputMillis,
                linkMillis + extraLinkMillis,
                otherMillis);
    }
}
