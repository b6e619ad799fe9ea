package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a target in trouble whose signed answer has a status that HTTP does not have, such
 * as 000, and reaches a caller as an answer.
 */
class InvalidStatusTest {
    private static final String INFORMATIONAL =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

    private static GatewayFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void resetTargets() {
        sFixture.resetTargets();
    }

    private static void setStatus(String informational, String status) {
        List<TargetStandIn> targets =
                List.of(
                        sFixture.deployment().engineA(),
                        sFixture.deployment().engineB(),
                        sFixture.plain());
        targets.forEach(target -> target.setInvalidStatus(informational, status));
    }

    private static void assertUnknownOutcome(Response response) {
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false").doesNotContain("invalid");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"000 X", "000", "099 X", "600 X", "999 X", "0 X", "20 X", "2000 X", "-01 X"})
    void nonIdempotentRequestRunsOnceAndEndsWithUnknownOutcome(String status) throws IOException {
        for (String informational : List.of("", INFORMATIONAL)) {
            setStatus(informational, status);
            sFixture.plain().enqueueFaults(Fault.INVALID_STATUS);
            assertUnknownOutcome(sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY));
            assertThat(sFixture.runCount()).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 X", "000", "099 X", "600 X", "999 X", "0 X", "-01 X", "+00 X"})
    void idempotentRequestIsRepeated(String status) throws IOException {
        for (String informational : List.of("", INFORMATIONAL)) {
            setStatus(informational, status);
            sFixture.plain().enqueueFaults(Fault.INVALID_STATUS);
            Response response = sFixture.call("GET /read/1", "");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("answer to " + sFixture.lastRequestId());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 X", "000", "099 X", "600 X", "999 X", "0 X", "-01 X"})
    void streamHasOnlyEventsOfValidResponses(String status) throws IOException {
        setStatus("", status);
        sFixture.enqueueAtEngines(Fault.INVALID_STATUS);
        assertThat(sFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        sFixture.resetTargets();
        setStatus(INFORMATIONAL, status);
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM, Fault.INVALID_STATUS);
        Response resumed = sFixture.stream();
        assertThat(resumed.status()).isEqualTo(200);
        assertThat(GatewayFixture.allEvents()).startsWith(resumed.body());
        assertThat(resumed.isComplete())
                .isEqualTo(resumed.body().equals(GatewayFixture.allEvents()));
    }

    /** Guards against a caller that resumes a stream and gets the events of such an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"000 X", "600 X"})
    void resumedStreamHasOnlyEventsOfValidResponses(String status) throws IOException {
        setStatus("", status);
        sFixture.enqueueAtEngines(Fault.INVALID_STATUS);
        Response response =
                sFixture.call("POST /stream/1", "Last-Event-Id: 3\r\n" + GatewayFixture.EMPTY_BODY);
        assertThat(response.body()).startsWith("id: 4\n").endsWith("data: token 5\n\n");
    }
}
