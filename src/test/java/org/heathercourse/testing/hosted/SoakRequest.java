package org.heathercourse.testing.hosted;

/**
 * One request of a caller in a soak and what the caller saw of it.
 *
 * <p>Written by its caller's thread; read by others after that thread has ended.
 */
final class SoakRequest {
    /** Value of a time that has not come and of a status that was not received. */
    static final long NONE = -1;

    private final String mId;
    private final String mLabel;
    private final SoakGateway.Run mRun;
    private long mSentMillis = NONE;
    private long mEndMillis = NONE;
    private int mStatus = (int) NONE;
    private boolean mComplete;
    private boolean mSentAfterClose;
    private long mReadPauseMillis;

    /**
     * Creates a request that was not sent.
     *
     * @param id identity of the request
     * @param label behavior of its caller and its path
     * @param run life of the gateway process that the caller is connected to
     */
    SoakRequest(String id, String label, SoakGateway.Run run) {
        mId = id;
        mLabel = label;
        mRun = run;
    }

    String id() {
        return mId;
    }

    SoakGateway.Run run() {
        return mRun;
    }

    /**
     * Records that, when the request was sent, its caller had received the head of a response that
     * announced the close of the connection. The gateway need not answer such a request.
     */
    void recordSentAfterClose() {
        mSentAfterClose = true;
    }

    boolean wasSentAfterClose() {
        return mSentAfterClose;
    }

    /** Records a time in milliseconds for which the caller waited before it read. */
    void recordReadPause(long pauseMillis) {
        mReadPauseMillis = pauseMillis;
    }

    void recordSent(long nowMillis) {
        mSentMillis = nowMillis;
    }

    void recordAnswer(int status, boolean complete) {
        mStatus = status;
        mComplete = complete;
    }

    void recordEnd(long nowMillis) {
        mEndMillis = nowMillis;
    }

    /** Returns whether the caller sent the last byte of the request. */
    boolean wasSent() {
        return mSentMillis != NONE;
    }

    /** Returns whether the caller received a complete answer. */
    boolean isAnswered() {
        return mComplete;
    }

    /** Returns the HTTP status of the answer, complete or not; {@link #NONE} without one. */
    int status() {
        return mStatus;
    }

    /** Returns when the caller had sent the last byte, in milliseconds. */
    long sentMillis() {
        return mSentMillis;
    }

    /** Returns when the answer was complete or the connection ended, in milliseconds. */
    long endMillis() {
        return mEndMillis;
    }

    /** Returns the time between the request and its end in milliseconds. */
    long durationMillis() {
        return mEndMillis - mSentMillis;
    }

    /** Returns the time to the end without the caller's own pause, in milliseconds. */
    long heldMillis() {
        return durationMillis() - mReadPauseMillis;
    }

    @Override
    public String toString() {
        String since =
                mRun.wasStopped()
                        ? (mSentMillis - mRun.stopMillis()) + " ms since SIGTERM"
                        : "no SIGTERM";
        return mId
                + " ("
                + mLabel
                + ", "
                + mRun.name()
                + ") sent "
                + (wasSent() ? since : "in part")
                + ", status "
                + mStatus
                + ", ended after "
                + durationMillis()
                + " ms";
    }
}
