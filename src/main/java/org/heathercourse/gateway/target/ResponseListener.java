package org.heathercourse.gateway.target;

/** Receives the response of a target. Called on the traffic loop. */
public interface ResponseListener {
    /**
     * Called once when the head of the response was received.
     *
     * @param head the head
     */
    void onHead(ResponseHead head);

    /**
     * Called for each part of the body.
     *
     * @param bytes bytes of the part
     */
    void onBody(byte[] bytes);

    /** Called once when the response is complete. */
    void onEnd();

    /**
     * Called once in place of {@link #onEnd} if the response is missing, malformed or incomplete.
     *
     * @param failure kind of the failure
     * @param reason cause of the failure
     */
    void onFailure(ResponseFailure failure, String reason);
}
