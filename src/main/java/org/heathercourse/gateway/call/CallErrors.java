package org.heathercourse.gateway.call;

import java.util.random.RandomGenerator;
import org.heathercourse.core.error.ErrorKind;

/** Error responses that end a call after its admission. */
public final class CallErrors {
    /** Retry-After in milliseconds if no target has capacity. */
    private static final long OVERLOADED_RETRY_AFTER_MILLIS = 250;

    /** Retry-After in milliseconds if the store does not reply. */
    private static final long STORE_UNAVAILABLE_RETRY_AFTER_MILLIS = 1_200;

    /**
     * Retry-After in milliseconds of a leaving gateway; another gateway can serve the request now.
     */
    private static final long LEAVING_RETRY_AFTER_MILLIS = 10;

    /** Bounds of Retry-After in milliseconds if there is no memory for a body. */
    private static final long MIN_MEMORY_RETRY_AFTER_MILLIS = 500;

    private static final long MAX_MEMORY_RETRY_AFTER_MILLIS = 1_500;

    /**
     * Retry-After in milliseconds of a turn whose history is unavailable: outages last seconds, and
     * another gateway may reach the store.
     */
    private static final long HISTORY_RETRY_AFTER_MILLIS = 500;

    private CallErrors() {}

    /** Returns the response of a gateway that exits before the request would have to end. */
    public static ErrorResponse leaving() {
        return new ErrorResponse(
                ErrorKind.DRAINING,
                "the gateway exits before the request would have to end",
                "retry the request at another gateway",
                LEAVING_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the response to a request whose body finds no memory.
     *
     * @param random spreads the times at which callers return
     */
    public static ErrorResponse memoryExhausted(RandomGenerator random) {
        return new ErrorResponse(
                ErrorKind.OVERLOADED,
                "the request has not run: the gateway has no memory left for it",
                "retry the request after the time in Retry-After, at another gateway",
                random.nextLong(MIN_MEMORY_RETRY_AFTER_MILLIS, MAX_MEMORY_RETRY_AFTER_MILLIS));
    }

    /** Returns the response to a request that has not run and that no target takes now. */
    static ErrorResponse notRun(String reason) {
        return new ErrorResponse(
                ErrorKind.OVERLOADED,
                "the request has not run: " + reason,
                "retry the request after the time in Retry-After",
                OVERLOADED_RETRY_AFTER_MILLIS);
    }

    /** Returns the response to a request that may have run but has no response. */
    static ErrorResponse unknownOutcome(String reason) {
        return ErrorResponse.of(
                ErrorKind.OUTCOME_UNKNOWN,
                "the request may have run: " + reason,
                "check its effect before sending it with a new request id");
    }

    /** Returns the response to a request whose deadline passed before it was sent. */
    static ErrorResponse deadlineExpired() {
        return new ErrorResponse(
                ErrorKind.OVERLOADED,
                "the deadline passed before the request could run",
                "retry the request with a later deadline",
                OVERLOADED_RETRY_AFTER_MILLIS);
    }

    /** Returns the response to a request whose deadline passed while it may have run. */
    static ErrorResponse deadlineExceeded() {
        return ErrorResponse.of(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed before the response was complete",
                "check the effect of the request before sending it again");
    }

    /** Returns the response to a turn for which its program has too few tokens left. */
    static ErrorResponse budgetExceeded() {
        return ErrorResponse.of(
                ErrorKind.BUDGET_EXCEEDED,
                "the remaining token budget of the program is too small for the turn",
                "end the program, or start it with a larger budget");
    }

    /** Returns the response to a turn whose budget cannot be read. */
    static ErrorResponse budgetUnavailable() {
        return new ErrorResponse(
                ErrorKind.STORE_UNAVAILABLE,
                "the budget of the program is unavailable: the store does not reply",
                "retry the request later",
                STORE_UNAVAILABLE_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the response to a turn whose history is not certain, or could not be extended.
     *
     * @param reason what is unavailable
     */
    static ErrorResponse historyUnavailable(String reason) {
        return new ErrorResponse(
                ErrorKind.STORE_UNAVAILABLE,
                "the turn has not run: " + reason,
                "retry the request after the time in Retry-After",
                HISTORY_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the response to a turn that continues one which does not exist. A turn of another
     * workspace gets the same response, so that it does not show which turns exist.
     */
    static ErrorResponse unknownTurn() {
        return ErrorResponse.of(
                ErrorKind.UNKNOWN_TURN,
                "the turn to continue does not exist",
                "send the request id of a complete turn that is still retained, or start anew");
    }

    /**
     * Returns the response to a turn whose history is too large to be sent to a target.
     *
     * @param maxBytes maximum size of a history with the new input, in bytes
     */
    static ErrorResponse historyTooLarge(long maxBytes) {
        return ErrorResponse.of(
                ErrorKind.PAYLOAD_TOO_LARGE,
                "the history and the new input exceed the maximum of " + maxBytes + " bytes",
                "start a new chain of turns with a shorter history");
    }
}
