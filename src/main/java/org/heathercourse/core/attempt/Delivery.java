package org.heathercourse.core.attempt;

/** Delivery state of an attempt, as far as it is certain. */
public enum Delivery {
    /** No byte of the request was sent to the target. */
    NOT_SENT(true),
    /** The target reported that it did not run the request. */
    NOT_RUN(true),
    /** The target may have run the request. */
    MAY_HAVE_RUN(false);

    private final boolean mProvesNotRun;

    Delivery(boolean provesNotRun) {
        mProvesNotRun = provesNotRun;
    }

    /** Returns whether the target has certainly not run the request and will not run it. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }
}
