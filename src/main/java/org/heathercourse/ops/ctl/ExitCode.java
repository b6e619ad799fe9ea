package org.heathercourse.ops.ctl;

import io.grpc.Status;

/** Exit codes of the operator's command line. */
public enum ExitCode {
    OK(0, "done"),
    FAILED(1, "the daemon reported an unexpected error; see its log"),
    USAGE(2, "a flag or argument is wrong"),
    INVALID(3, "the declaration is invalid, or the command names an item that is not declared"),
    CONFLICT(4, "another change was accepted first; run plan again"),
    UNAVAILABLE(5, "no daemon answered, or the store or a majority of daemons cannot be reached"),
    UNAUTHENTICATED(6, "the operator credential is missing or wrong"),
    NOT_IN_FORCE(7, "the revision was not in force at all daemons before the timeout");

    private final int mCode;
    private final String mMeaning;

    ExitCode(int code, String meaning) {
        mCode = code;
        mMeaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return mCode;
    }

    /** Returns a description for the help text. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns the exit code for the gRPC status of a failed call. */
    static ExitCode of(Status status) {
        return switch (status.getCode()) {
            case OK -> OK;
            case INVALID_ARGUMENT, NOT_FOUND, FAILED_PRECONDITION -> INVALID;
            case ABORTED -> CONFLICT;
            case UNAVAILABLE, DEADLINE_EXCEEDED -> UNAVAILABLE;
            case UNAUTHENTICATED, PERMISSION_DENIED -> UNAUTHENTICATED;
            default -> FAILED;
        };
    }
}
