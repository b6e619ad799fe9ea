package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.heathercourse.platform.entry.AnswerFacts;

/**
 * The head of a target's response. The headers must not be changed.
 *
 * @param status HTTP status
 * @param reason reason phrase
 * @param headers headers as received
 * @param facts platform headers, parsed
 * @param framing how the end of the body is found
 */
public record ResponseHead(
        int status, String reason, HttpHeaders headers, AnswerFacts facts, BodyFraming framing) {}
