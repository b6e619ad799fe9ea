package org.heathercourse.core.config;

/** Declared state of a VM or target. */
public enum LifecycleState {
    /** Accepts new work. */
    UP(true),
    /** Accepts no new work; running calls are completed. */
    DRAINING(false),
    /** Drained and permanently out of service in its current incarnation. */
    RETIRED(false);

    private final boolean mTakesNewWork;

    LifecycleState(boolean takesNewWork) {
        mTakesNewWork = takesNewWork;
    }

    /** Returns whether new work may be assigned. */
    public boolean takesNewWork() {
        return mTakesNewWork;
    }
}
