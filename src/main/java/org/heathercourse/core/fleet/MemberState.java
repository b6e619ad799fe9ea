package org.heathercourse.core.fleet;

/** What a gateway says of itself. */
public enum MemberState {
    /** It does not serve yet. */
    STARTING(false),
    /** It serves. */
    READY(true),
    /** It serves the callers that come, but wants no more. */
    LEAVING(false);

    private final boolean mAdvised;

    MemberState(boolean advised) {
        mAdvised = advised;
    }

    /** Returns whether callers are sent to a gateway in this state. */
    public boolean acceptsNewCallers() {
        return mAdvised;
    }
}
