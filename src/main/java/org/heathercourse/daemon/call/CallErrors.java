package org.heathercourse.daemon.call;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;

/** Factory methods for the errors of calls, which give each error the same text everywhere. */
final class CallErrors {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private CallErrors() {}

    static HeathercourseException ownershipLost(ShardId shard, boolean notRun) {
        return HeathercourseException.builder(ErrorKind.OWNERSHIP_LOST)
                .message("this daemon does not own shard " + shard + " at present")
                .remedy("repeat the request with the same identity")
                .notRun(notRun)
                .build();
    }

    static HeathercourseException ownerUnavailable(ShardId shard, boolean notRun) {
        return HeathercourseException.builder(ErrorKind.OWNER_UNAVAILABLE)
                .message("no owner of shard " + shard + " could be reached in time")
                .remedy("repeat the request with the same identity")
                .notRun(notRun)
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    static HeathercourseException deadlineExceeded(boolean notRun) {
        return HeathercourseException.builder(ErrorKind.DEADLINE_EXCEEDED)
                .message("the deadline of the call has passed")
                .remedy("allow more time with X-Deadline-Ms")
                .notRun(notRun)
                .build();
    }

    static HeathercourseException overloaded(String message) {
        return HeathercourseException.builder(ErrorKind.OVERLOADED)
                .message(message)
                .remedy("try again later")
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    static HeathercourseException storeUnavailable(String message) {
        return HeathercourseException.builder(ErrorKind.STORE_UNAVAILABLE)
                .message(message)
                .remedy("try again when the store is back")
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    static HeathercourseException outcomeUnknown(String message) {
        return new HeathercourseException(
                ErrorKind.OUTCOME_UNKNOWN,
                message,
                "find out at the service whether the request took effect before sending it anew");
    }

    /**
     * Returns the error of a call without an answer of its target.
     *
     * @param message what failed
     * @param notRun whether no attempt can have run; the error is then of kind {@code OVERLOADED},
     *     so that the caller may retry
     */
    static HeathercourseException targetFailed(String message, boolean notRun) {
        if (notRun) {
            return overloaded(message);
        }
        return new HeathercourseException(
                ErrorKind.TARGET_FAILED, message, "repeat the call under a new identity");
    }

    static HeathercourseException identityConflict(RequestId request) {
        return new HeathercourseException(
                ErrorKind.IDENTITY_CONFLICT,
                "request " + request + " was used before for another body",
                "use a new Idempotency-Key for a new request");
    }

    /** Also used for programs of other workspaces, so that their existence is not revealed. */
    static HeathercourseException unknownProgram(ProgramId program) {
        return new HeathercourseException(
                ErrorKind.UNKNOWN_PROGRAM,
                "program " + program + " is not known",
                "start a program with POST /v1/programs");
    }

    static HeathercourseException unknownRequest(RequestId request) {
        return new HeathercourseException(
                ErrorKind.UNKNOWN_REQUEST,
                "request " + request + " is not known",
                "send the call again with its Idempotency-Key");
    }

    static HeathercourseException programEnded(ProgramId program, String reason) {
        return new HeathercourseException(
                ErrorKind.PROGRAM_ENDED,
                "program " + program + " has ended: " + reason,
                "start a new program");
    }

    static HeathercourseException budgetExceeded(long neededTokens, long remainingTokens) {
        return new HeathercourseException(
                ErrorKind.BUDGET_EXCEEDED,
                "the call may use "
                        + neededTokens
                        + " tokens, but "
                        + remainingTokens
                        + " are left of the budget",
                "lower max_tokens, or start the program with a larger budget");
    }

    /**
     * Returns the error of a call whose thread was interrupted, and sets the interrupt flag again.
     */
    static HeathercourseException interrupted(boolean notRun) {
        Thread.currentThread().interrupt();
        return HeathercourseException.builder(ErrorKind.DRAINING)
                .message("the daemon is stopping")
                .remedy("repeat the request with the same identity")
                .notRun(notRun)
                .build();
    }
}
