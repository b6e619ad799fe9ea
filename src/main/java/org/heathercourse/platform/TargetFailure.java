package org.heathercourse.platform;

/**
 * How an attempt at a target failed.
 *
 * @param kind the kind
 * @param httpStatus status that the target answered, or 0 if it gave none
 * @param message what was met
 */
public record TargetFailure(Kind kind, int httpStatus, String message) {
    /** Kinds of failures, with what they prove about execution. */
    public enum Kind {
        /** No connection was made: no byte reached the target. */
        NOT_SENT(true),
        /** The target refused the request before running it and said so. */
        REFUSED(true),
        /** The connection broke or the answer was malformed. */
        BROKEN(false),
        /** No answer in time. */
        TIMEOUT(false),
        /** The caller cancelled. */
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
