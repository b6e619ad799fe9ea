package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.heathercourse.platform.entry.AnswerFacts;

/** Receives the answer of a target. Called on the traffic loop. */
public interface ResponseListener {
    /**
     * Called once when the head of the answer has come.
     *
     * @param status HTTP status
     * @param reason reason phrase
     * @param headers headers as received
     * @param facts what the target says in them
     */
    void onHead(int status, String reason, HttpHeaders headers, AnswerFacts facts);

    /**
     * Called for each part of the body.
     *
     * @param bytes the part
     */
    void onBody(byte[] bytes);

    /** Called once when the answer is whole. */
    void onEnd();

    /**
     * Called once in place of {@link #onEnd} if no whole answer comes.
     *
     * @param reason what happened
     */
    void onFailure(String reason);
}
