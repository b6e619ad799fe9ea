package org.heathercourse.core.target;

import java.util.Locale;

/**
 * What the table of targets tells about one incarnation of a target.
 *
 * <p>Three facts differ: whether the target gets new requests, whether it has a row, and whether
 * its process has ended. A target that gets no new requests, or whose row is gone, goes on with the
 * requests that it has; only {@link #REPLACED}, or a refused connection, shows the end of its
 * process.
 */
public enum TargetState {
    /** The target accepts new requests. */
    ACCEPTING(true, true, false),
    /** The target gets no new requests, and goes on with those that it has. */
    LEAVING(false, true, false),
    /**
     * The zone of the target is evacuated: it gets no new requests, and goes on with those that it
     * has.
     */
    EVACUATED(false, true, false),
    /** The target has no row; it may go on with its requests like one that is leaving. */
    UNLISTED(false, false, false),
    /** A later start of the same target has a row, so that this one has ended. */
    REPLACED(false, false, true);

    private final boolean mAcceptsRequests;
    private final boolean mListed;
    private final boolean mEnded;

    TargetState(boolean acceptsRequests, boolean listed, boolean ended) {
        mAcceptsRequests = acceptsRequests;
        mListed = listed;
        mEnded = ended;
    }

    /** Returns whether the target may get requests. */
    public boolean acceptsRequests() {
        return mAcceptsRequests;
    }

    /** Returns whether the target has a row. */
    public boolean isListed() {
        return mListed;
    }

    /** Returns whether the row of a later start shows that the target's process has ended. */
    public boolean hasEnded() {
        return mEnded;
    }

    /** Returns the name in logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
