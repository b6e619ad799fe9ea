package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.heathercourse.platform.entry.AnswerFacts;

/** Receives the response of a target. Called on the traffic loop. */
public interface ResponseListener {
    /**
     * Called once when the head of the response was received.
     *
     * @param status HTTP status
     * @param reason reason phrase
     * @param headers headers as received
     * @param facts platform headers, parsed
     */
    void onHead(int status, String reason, HttpHeaders headers, AnswerFacts facts);

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
