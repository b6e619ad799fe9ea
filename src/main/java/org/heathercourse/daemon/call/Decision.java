package org.heathercourse.daemon.call;

/**
 * What this daemon decided on a call. Immutable.
 *
 * @param epochMillis wall-clock time of the decision in milliseconds
 * @param program identity of the program
 * @param request identity of the request; empty if it has none
 * @param workspace workspace of the caller; empty on routes open to all
 * @param outcome what was decided
 * @param target target of a placed call; empty otherwise
 * @param priority urgency of a placed call at its target; smaller is served earlier
 * @param expectedMillis expected time until the answer is complete, in milliseconds
 * @param cachedTokens prompt tokens that the target was believed to hold
 * @param errorKind wire name of the error kind of a refused call; empty otherwise
 * @param reason why a call was queued or refused; empty if it was placed
 */
public record Decision(
        long epochMillis,
        String program,
        String request,
        String workspace,
        Outcome outcome,
        String target,
        int priority,
        long expectedMillis,
        long cachedTokens,
        String errorKind,
        String reason) {
    /** What can be decided on a call. */
    public enum Outcome {
        /** It was sent to a target. */
        PLACED,
        /** It waits for earlier calls of its program. */
        QUEUED,
        /** It was refused or has failed. */
        REFUSED
    }
}
