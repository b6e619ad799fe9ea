package org.heathercourse.platform;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown when a blocking call to a target fails. Immutable. */
public final class TargetException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final transient TargetFailure mFailure;

    /**
     * Creates an exception.
     *
     * @param target target of the call
     * @param failure kind, status and message of the failure
     */
    public TargetException(TargetAddress target, TargetFailure failure) {
        super(
                builder(ErrorKind.TARGET_FAILED)
                        .message(
                                "target "
                                        + target.target()
                                        + " failed: "
                                        + failure.kind()
                                        + " "
                                        + failure.message())
                        .remedy("check the target; idempotent calls are retried elsewhere")
                        .notRun(failure.kind().provesNotRun()));
        mFailure = failure;
    }

    /** Returns how the call failed. */
    public TargetFailure failure() {
        return mFailure;
    }
}
