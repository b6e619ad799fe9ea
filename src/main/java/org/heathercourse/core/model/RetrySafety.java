package org.heathercourse.core.model;

/** Whether a call may reach targets more than once. */
public enum RetrySafety {
    /** May be repeated, on another target too. */
    IDEMPOTENT(true),
    /** Needs a durable intent before dispatch and is dispatched at most once. */
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
