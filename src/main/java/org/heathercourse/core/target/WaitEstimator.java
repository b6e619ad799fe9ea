package org.heathercourse.core.target;

/** Estimates how long a request waits at a target. Implementations are thread-safe. */
@FunctionalInterface
public interface WaitEstimator {
    /**
     * Returns the expected wait of a request at a target, in milliseconds.
     *
     * @param target the target
     * @param load requests and failures of this gateway at the target
     * @param preferred whether the target is expected to have computed most of the prompt before
     * @param context properties of the request
     */
    double waitMillis(
            Target target,
            TargetLoad load,
            boolean preferred,
            TargetSelector.SelectionContext context);
}
