package org.heathercourse.platform;

/**
 * Failure of an attempt to run a call at a target.
 *
 * @param kind kind of the failure
 * @param httpStatus status of the target's response, or 0 if there is none
 * @param message what happened
 */
public record TargetFailure(Kind kind, int httpStatus, String message) {
    /** Kinds of failures, with what they prove about execution. */
    public enum Kind {
        /** No byte of the request was sent, for instance because the connection failed. */
        NOT_SENT(true),
        /** The target reported that it refused the request without running it. */
        REFUSED(true),
        /** The connection broke, or the response was malformed. */
        BROKEN(false),
        /** The target did not answer in time. */
        TIMEOUT(false),
        /** The caller cancelled the call. */
        CANCELLED(false);

        private final boolean mNotRun;

        Kind(boolean notRun) {
            mNotRun = notRun;
        }

        /** Returns whether this failure proves that the target did not run the request. */
        public boolean provesNotRun() {
            return mNotRun;
        }
    }
}
