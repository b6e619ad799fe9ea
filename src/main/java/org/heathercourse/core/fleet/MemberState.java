package org.heathercourse.core.fleet;

/** State that a gateway reports in its row. */
public enum MemberState {
    /** The gateway is starting and does not serve requests yet. */
    STARTING(false),
    /** The gateway serves requests. */
    READY(true),
    /**
     * The gateway is shutting down: it still serves requests, but callers are no longer directed to
     * it.
     */
    LEAVING(false);

    private final boolean mAcceptsNewCallers;

    MemberState(boolean acceptsNewCallers) {
        mAcceptsNewCallers = acceptsNewCallers;
    }

    /** Returns whether callers are directed to a gateway in this state. */
    public boolean acceptsNewCallers() {
        return mAcceptsNewCallers;
    }
}
