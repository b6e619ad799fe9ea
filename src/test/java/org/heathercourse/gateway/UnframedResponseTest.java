package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses of targets that end with their connection, without a length or chunks,
 * and are taken for complete although they were broken off.
 */
class UnframedResponseTest {
    private static final String ALL_EVENTS = GatewayFixture.allEvents();

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
        sFixture.setUnframed(true);
    }

    private static void breakEachAttempt() {
        sFixture.enqueueAtEngines(
                Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM);
    }

    @Test
    void completeResponsesAreForwarded() throws IOException {
        assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(1);
        assertThat(sFixture.call("GET /read/1", "").body())
                .isEqualTo("answer to " + sFixture.lastRequestId());
    }

    /** The failure of the incident: the caller got a part of an event and the last chunk. */
    @Test
    void streamThatEndsInsideEventIsResumed() throws IOException {
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM);
        assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }

    /** A stream that no target continues must look broken off. */
    @Test
    void streamThatAlwaysEndsInsideEventIsBrokenOff() throws IOException {
        breakEachAttempt();
        Response response = sFixture.stream();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }

    /** A reset proves that the response is incomplete, also between two events. */
    @Test
    void streamThatIsResetBetweenEventsIsResumed() throws IOException {
        sFixture.enqueueAtEngines(Fault.RESET_STREAM);
        assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }

    /** The end of a process closes its connections in order, so that only its port tells it. */
    @Test
    void streamWhoseTargetEndsBetweenEventsIsResumed() throws IOException {
        sFixture.enqueueAtEngines(Fault.CRASH_IN_BODY);
        Response response = sFixture.stream();
        sFixture.resetTargets();
        assertThat(response.body()).isEqualTo(ALL_EVENTS);
        await().atMost(GatewayFixture.MAX_WAIT).until(() -> sFixture.stream().isComplete());
    }

    /** Guards the same for a body that is not a stream and cannot be requested again. */
    @Test
    void bodyWhoseTargetEndsIsNotForwarded() throws IOException {
        sFixture.plain().enqueueFaults(Fault.CRASH_IN_BODY);
        Response response = sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY);
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.call("GET /read/1", "").status() == 200);
    }

    /** A caller of HTTP/1.0 knows no chunks: its response, too, ends with its connection. */
    @Test
    void callerOfOldVersionSeesThatStreamIsBrokenOff() throws IOException {
        String request = "POST /stream/1";
        assertThat(sFixture.call("HTTP/1.0", request, GatewayFixture.EMPTY_BODY).body())
                .isEqualTo(ALL_EVENTS);
        breakEachAttempt();
        Response response = sFixture.call("HTTP/1.0", request, GatewayFixture.EMPTY_BODY);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }
}
