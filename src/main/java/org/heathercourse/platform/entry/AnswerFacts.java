package org.heathercourse.platform.entry;

/**
 * Metadata of a target's response, read from its status and headers. Immutable.
 *
 * @param requestId identity of the request that is answered; null if absent
 * @param hasSignature whether the response has the signature header of a target
 * @param notRun whether the target reports that it did not and will not run the request
 * @param wrongTarget whether the request reached a target other than the intended one
 * @param leaving whether the target that sent the response says that it leaves
 * @param coldRemainingMillis time for which the target that sent the response is cold, in
 *     milliseconds; 0 if absent
 * @param ambiguous whether a header that a target sends once is there several times, which shows
 *     that the head consists of parts of two responses
 */
public record AnswerFacts(
        String requestId,
        boolean hasSignature,
        boolean notRun,
        boolean wrongTarget,
        boolean leaving,
        long coldRemainingMillis,
        boolean ambiguous) {}
