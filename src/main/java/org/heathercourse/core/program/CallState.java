package org.heathercourse.core.program;

/** States of a call that the log knows. */
public enum CallState {
    /** An intent is recorded and no outcome yet; its dispatcher is alive. */
    INTENT(false),
    /** An intent without outcome was found after a takeover: it may or may not have run. */
    UNKNOWN(true),
    /** Ended with an answer. */
    COMPLETED(true),
    /** Ended without an answer. */
    FAILED(true);

    private final boolean mFinal;

    CallState(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether a repeat of the call gets this state's result instead of a new attempt. */
    public boolean isFinal() {
        return mFinal;
    }
}
