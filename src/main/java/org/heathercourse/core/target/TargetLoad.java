package org.heathercourse.core.target;

/** What this gateway has seen of one run of a target. Not safe for use by several threads. */
public final class TargetLoad {
    /** Weight of the latest observation in the averages. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private int mInFlight;
    private double mMeanRunMillis;
    private long mBackoffUntilMillis = Long.MIN_VALUE;
    private int mConsecutiveFailures;

    /** Notes that a request was sent. */
    public void recordStart() {
        mInFlight++;
    }

    /**
     * Notes that a request ended well.
     *
     * @param durationMillis time from its sending to its end in milliseconds
     */
    public void recordSuccess(double durationMillis) {
        mInFlight--;
        mConsecutiveFailures = 0;
        mMeanRunMillis =
                mMeanRunMillis == 0
                        ? durationMillis
                        : mMeanRunMillis + SAMPLE_WEIGHT * (durationMillis - mMeanRunMillis);
    }

    /** Notes that a request ended without telling anything about the target. */
    public void recordInconclusive() {
        mInFlight--;
    }

    /**
     * Notes that the target had no room.
     *
     * @param nowMillis present reading of the ticker
     * @param backoffMillis time for which it is used only if all others have no room either
     */
    public void recordRejection(long nowMillis, long backoffMillis) {
        mInFlight--;
        extendBackoff(nowMillis + backoffMillis);
    }

    /**
     * Notes that an answer broke or did not come. The target is avoided for longer with each
     * failure in a row.
     *
     * @param nowMillis present reading of the ticker
     * @param backoffMillis time for which it is avoided after the first failure
     */
    public void recordFailure(long nowMillis, long backoffMillis) {
        mInFlight--;
        mConsecutiveFailures = Math.min(mConsecutiveFailures + 1, 4);
        extendBackoff(nowMillis + (backoffMillis << (mConsecutiveFailures - 1)));
    }

    private void extendBackoff(long untilMillis) {
        mBackoffUntilMillis = Math.max(mBackoffUntilMillis, untilMillis);
    }

    /** Returns whether the target is to be avoided now. */
    public boolean isInBackoff(long nowMillis) {
        return nowMillis < mBackoffUntilMillis;
    }

    /** Returns the requests of this gateway that run there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the mean time of a request in milliseconds; 0 if none has ended. */
    public double meanRunMillis() {
        return mMeanRunMillis;
    }
}
