package org.heathercourse.core.model;

/** Whether a call may be sent to targets more than once. */
public enum RetrySafety {
    /** May be retried, also on another target. */
    IDEMPOTENT(true),
    /** Requires a durable intent record before dispatch and is dispatched at most once. */
    NON_IDEMPOTENT(false);

    private final boolean mRepeatable;

    RetrySafety(boolean repeatable) {
        mRepeatable = repeatable;
    }

    /** Returns whether a call may be dispatched again after an attempt with unknown outcome. */
    public boolean mayRepeat() {
        return mRepeatable;
    }
}
