package org.heathercourse.daemon.call;

/**
 * Scheduling decision of this daemon on a call. Immutable.
 *
 * @param epochMillis wall-clock time of the decision, in milliseconds since the epoch
 * @param program identity of the program
 * @param request identity of the request; empty if it has none
 * @param workspace workspace of the caller; empty on routes open to all
 * @param outcome result of the decision
 * @param target target of a placed call; empty otherwise
 * @param priority priority of a placed call at its target; smaller values are served first
 * @param expectedMillis expected time until the answer is complete, in milliseconds
 * @param cachedTokens estimate of the prompt tokens cached at the target
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
    /** Results of a decision. */
    public enum Outcome {
        /** The call was sent to a target. */
        PLACED,
        /** The call waits for earlier calls of its program. */
        QUEUED,
        /** The call was refused or has failed. */
        REFUSED
    }
}
