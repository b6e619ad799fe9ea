package org.heathercourse.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

/**
 * Guards against second answers of a target, late or cut, that become a part of the answer to
 * another request on the same connection: callers got a success where the target had answered with
 * a failure.
 */
class SecondAnswerTest {
    private static final String COPY =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRequest-Id: r1\r\n"
                    + "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r2\r\nContent-Length: 6\r\n\r\n"
                    + "failed";

    /** At each byte at which the copy can be cut, while the connection is idle. */
    @Test
    void startOfCopyOnIdleConnectionIsNotTakenForStartOfNextAnswer() {
        for (int length = 1; length <= COPY.length(); length++) {
            TargetExchanges target = new TargetExchanges();
            target.send("r1");
            target.receive(COPY);
            assertThat(target.isIdle()).isTrue();
            target.receive(COPY.substring(0, length));
            assertNotTakenForNextAnswer(target, length);
        }
    }

    /** The same where the cut copy comes in one read with the end of the answer. */
    @Test
    void startOfCopyBehindAnswerIsNotTakenForStartOfNextAnswer() {
        for (int length = 1; length <= COPY.length(); length++) {
            TargetExchanges target = new TargetExchanges();
            target.send("r1");
            target.receive(COPY + COPY.substring(0, length));
            assertThat(target.answer()).isEqualTo("200 ok");
            assertNotTakenForNextAnswer(target, length);
        }
    }

    private static void assertNotTakenForNextAnswer(TargetExchanges target, int length) {
        String answer = "not sent";
        if (target.isIdle()) {
            target.send("r2");
            target.receive(FAILURE);
            answer = target.answer();
        }
        assertThat(answer).as("after %d bytes of a copy", length).isEqualTo("not sent");
    }

    /** A caller may repeat a request with its id after a failure; a copy of that may still come. */
    @Test
    void requestIsNotSentAgainOnConnectionThatCarriedIt() {
        TargetExchanges target = new TargetExchanges();
        target.send("r2");
        target.receive(FAILURE);
        assertThat(target.answer()).isEqualTo("500 failed");
        assertThat(target.mayCarry("r2")).isFalse();
        assertThat(target.mayCarry("r3")).isTrue();
    }

    private static TargetExchanges afterAnswerTo(String requestId) {
        TargetExchanges target = new TargetExchanges();
        target.send(requestId);
        target.receive(COPY);
        assertThat(target.isIdle()).isTrue();
        return target;
    }

    /** A target that answers twice may do so again, also with a cut copy. */
    @Test
    void connectionIsNotReusedAfterSkippedResponse() {
        TargetExchanges target = afterAnswerTo("r1");
        target.send("r2");
        target.receive(COPY);
        target.receive(FAILURE);
        assertThat(target.answer()).isEqualTo("500 failed");
        assertThat(target.isIdle()).isFalse();
    }

    /** Informational responses belong to the request; they say nothing about copies. */
    @Test
    void connectionIsReusedAfterInformationalResponse() {
        TargetExchanges target = new TargetExchanges();
        target.send("r1");
        target.receive("HTTP/1.1 100 Continue\r\n\r\n" + COPY);
        assertThat(target.answer()).isEqualTo("200 ok");
        assertThat(target.isIdle()).isTrue();
    }

    /** Its body would take in the answer, so that the caller would wait until its deadline. */
    @Test
    void responseToOtherRequestWithoutFramingFailsExchangeAtOnce() {
        TargetExchanges target = afterAnswerTo("r1");
        target.send("r2");
        target.receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + FAILURE);
        assertThat(target.answer()).isEqualTo("INVALID_RESPONSE");
        assertThat(target.isIdle()).isFalse();
    }

    /** Guards against a body without its head, and a head whose body is taken from the next one. */
    @Test
    void connectionThatCarriedHeadRequestIsNotReused() {
        TargetExchanges target = new TargetExchanges();
        target.send(HttpMethod.HEAD, "r1");
        target.receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n");
        assertThat(target.answer()).isEqualTo("200 ");
        assertThat(target.isIdle()).isFalse();
    }

    @Test
    void copyBeforeAnswerToHeadRequestFailsExchange() {
        TargetExchanges target = afterAnswerTo("r1");
        target.send(HttpMethod.HEAD, "r2");
        target.receive(COPY);
        assertThat(target.answer()).isEqualTo("INVALID_RESPONSE");
    }

    /** At each byte at which a late copy can be cut before the answer comes. */
    @Test
    void startOfCopyBeforeAnswerDoesNotChangeItsStatus() {
        for (int length = 1; length <= COPY.length(); length++) {
            TargetExchanges target = afterAnswerTo("r1");
            target.send("r2");
            target.receive(COPY.substring(0, length));
            target.receive(FAILURE);
            assertThat(target.answer())
                    .as("after %d bytes of a copy", length)
                    .isIn("500 failed", "INVALID_RESPONSE", "none");
        }
    }

    /** A copy without an id before the cut leaves one id, and its status, in the head. */
    @Test
    void startOfRefusalBeforeSuccessDoesNotChangeItsStatus() {
        String refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: r1\r\n\r\n";
        for (int length = 1; length <= refusal.length(); length++) {
            TargetExchanges target = afterAnswerTo("r1");
            target.send("r2");
            target.receive(refusal.substring(0, length));
            target.receive(COPY.replace("r1", "r2"));
            assertThat(target.answer())
                    .as("after %d bytes of a refusal", length)
                    .isIn("200 ok", "INVALID_RESPONSE", "none");
        }
    }
}
