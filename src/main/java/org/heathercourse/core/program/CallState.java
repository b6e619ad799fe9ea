package org.heathercourse.core.program;

/** State of a call in the log of a shard. */
public enum CallState {
    /**
     * An intent is recorded without an outcome, and the daemon that dispatched the call still owns
     * the shard.
     */
    INTENT(false),
    /**
     * An intent without an outcome was found after a change of owner; the call may or may not have
     * run.
     */
    UNKNOWN(true),
    /** The call ended with an answer. */
    COMPLETED(true),
    /** The call ended without an answer. */
    FAILED(true);

    private final boolean mFinal;

    CallState(boolean isFinal) {
        mFinal = isFinal;
    }

    /**
     * Returns whether a repeated request for the call gets the recorded result instead of a new
     * attempt.
     */
    public boolean isFinal() {
        return mFinal;
    }
}
