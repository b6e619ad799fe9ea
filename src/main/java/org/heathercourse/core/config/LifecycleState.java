package org.heathercourse.core.config;

/** Declared state of a VM or target. */
public enum LifecycleState {
    /** Takes new work. */
    UP(true),
    /** Takes no new work; running calls end. */
    DRAINING(false),
    /** Emptied and gone for good in its present incarnation. */
    RETIRED(false);

    private final boolean mTakesNewWork;

    LifecycleState(boolean takesNewWork) {
        mTakesNewWork = takesNewWork;
    }

    /** Returns whether new work may be given. */
    public boolean takesNewWork() {
        return mTakesNewWork;
    }
}
