package org.heathercourse.core.target;

/** Load and failures of one incarnation of a target, seen by this gateway. Not thread-safe. */
public final class TargetLoad {
    /** Weight of the latest sample in the exponential moving average. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private int mInFlight;
    private double mMeanRunMillis;
    private long mBackoffUntilMillis = Long.MIN_VALUE;
    private int mConsecutiveFailures;
    private long mEndedUntilMillis = Long.MIN_VALUE;

    /** Records that a request was sent. */
    public void recordStart() {
        mInFlight++;
    }

    /**
     * Records that a request succeeded.
     *
     * @param durationMillis time from the start of sending to the end of the answer, in
     *     milliseconds
     */
    public void recordSuccess(double durationMillis) {
        mInFlight--;
        mConsecutiveFailures = 0;
        mMeanRunMillis =
                mMeanRunMillis == 0
                        ? durationMillis
                        : mMeanRunMillis + SAMPLE_WEIGHT * (durationMillis - mMeanRunMillis);
    }

    /** Records the end of a request that says nothing about the health of the target. */
    public void recordInconclusive() {
        mInFlight--;
    }

    /**
     * Records that the target rejected a request for lack of capacity.
     *
     * @param nowMillis current timestamp of the ticker
     * @param backoffMillis time in milliseconds for which other targets are preferred
     */
    public void recordRejection(long nowMillis, long backoffMillis) {
        mInFlight--;
        extendBackoff(nowMillis + backoffMillis);
    }

    /**
     * Records that an answer was incomplete or missing. The backoff doubles with each consecutive
     * failure, up to eight times its initial length.
     *
     * @param nowMillis current timestamp of the ticker
     * @param backoffMillis backoff after the first failure in milliseconds
     */
    public void recordFailure(long nowMillis, long backoffMillis) {
        mInFlight--;
        mConsecutiveFailures = Math.min(mConsecutiveFailures + 1, 4);
        extendBackoff(nowMillis + (backoffMillis << (mConsecutiveFailures - 1)));
    }

    /**
     * Records that the target's process does not run.
     *
     * @param nowMillis current timestamp of the ticker
     * @param endedMillis time in milliseconds until the target is tried again
     */
    public void recordEnd(long nowMillis, long endedMillis) {
        mEndedUntilMillis = nowMillis + endedMillis;
    }

    /** Returns whether the target's process does not run as far as is known. */
    public boolean hasEnded(long nowMillis) {
        return nowMillis < mEndedUntilMillis;
    }

    private void extendBackoff(long untilMillis) {
        mBackoffUntilMillis = Math.max(mBackoffUntilMillis, untilMillis);
    }

    /** Returns whether other targets are preferred at this time. */
    public boolean isInBackoff(long nowMillis) {
        return nowMillis < mBackoffUntilMillis;
    }

    /** Returns the number of this gateway's requests in flight at the target. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the moving average of request times in milliseconds; 0 before the first success. */
    public double meanRunMillis() {
        return mMeanRunMillis;
    }
}
