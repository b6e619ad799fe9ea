package org.heathercourse.core.target;

/** What this gateway has seen of one run of a target. Not safe for use by several threads. */
public final class TargetLoad {
    /** Weight of the latest observation in the averages. */
    private static final double NEWEST_WEIGHT = 0.2;

    private int mRunning;
    private double mRunMillis;
    private long mAvoidUntilMillis = Long.MIN_VALUE;
    private int mFailuresInRow;

    /** Notes that a request was sent. */
    public void recordStart() {
        mRunning++;
    }

    /**
     * Notes that a request ended well.
     *
     * @param tookMillis time from its sending to its end in milliseconds
     */
    public void recordSuccess(double tookMillis) {
        mRunning--;
        mFailuresInRow = 0;
        mRunMillis =
                mRunMillis == 0
                        ? tookMillis
                        : mRunMillis + NEWEST_WEIGHT * (tookMillis - mRunMillis);
    }

    /** Notes that a request ended without telling anything about the target. */
    public void recordInconclusive() {
        mRunning--;
    }

    /**
     * Notes that the target had no room.
     *
     * @param nowMillis present reading of the ticker
     * @param avoidMillis time for which it is used only if all others have no room either
     */
    public void recordRejection(long nowMillis, long avoidMillis) {
        mRunning--;
        avoid(nowMillis + avoidMillis);
    }

    /**
     * Notes that an answer broke or did not come. The target is avoided for longer with each
     * failure in a row.
     *
     * @param nowMillis present reading of the ticker
     * @param avoidMillis time for which it is avoided after the first failure
     */
    public void recordFailure(long nowMillis, long avoidMillis) {
        mRunning--;
        mFailuresInRow = Math.min(mFailuresInRow + 1, 4);
        avoid(nowMillis + (avoidMillis << (mFailuresInRow - 1)));
    }

    private void avoid(long untilMillis) {
        mAvoidUntilMillis = Math.max(mAvoidUntilMillis, untilMillis);
    }

    /** Returns whether the target is to be avoided now. */
    public boolean isInBackoff(long nowMillis) {
        return nowMillis < mAvoidUntilMillis;
    }

    /** Returns the requests of this gateway that run there. */
    public int inFlight() {
        return mRunning;
    }

    /** Returns the mean time of a request in milliseconds; 0 if none has ended. */
    public double meanRunMillis() {
        return mRunMillis;
    }
}
