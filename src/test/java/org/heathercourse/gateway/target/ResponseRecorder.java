package org.heathercourse.gateway.target;

import java.nio.charset.StandardCharsets;

/** Records what a listener is told. */
final class ResponseRecorder implements ResponseListener {
    private final StringBuilder mBody = new StringBuilder();
    private ResponseHead mHead;
    private ResponseFailure mFailure;
    private boolean mEnded;

    @Override
    public void onHead(ResponseHead head) {
        mHead = head;
    }

    @Override
    public void onBody(byte[] bytes) {
        mBody.append(new String(bytes, StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd() {
        mEnded = true;
    }

    @Override
    public void onFailure(ResponseFailure failure, String reason) {
        mFailure = failure;
    }

    /** Returns the head; null if there was none. */
    ResponseHead head() {
        return mHead;
    }

    /** Returns what has arrived of the body. */
    String body() {
        return mBody.toString();
    }

    /** Returns whether the response was complete. */
    boolean ended() {
        return mEnded;
    }

    /** Returns how the response failed; null if it did not. */
    ResponseFailure failure() {
        return mFailure;
    }
}
