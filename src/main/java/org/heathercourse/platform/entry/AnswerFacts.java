package org.heathercourse.platform.entry;

/**
 * What a target says about its answer. Immutable.
 *
 * @param requestId identity of the request that is answered; null if it is not said
 * @param hasSignature whether the answer bears the mark of a target
 * @param notRun whether the target says that it did not and will not run the request
 * @param wrongTarget whether the target is not the one that was meant
 */
public record AnswerFacts(
        String requestId, boolean hasSignature, boolean notRun, boolean wrongTarget) {}
