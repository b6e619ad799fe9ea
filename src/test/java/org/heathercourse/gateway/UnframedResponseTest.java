package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn;
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
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);
    private static final String ALL_EVENTS = events();

    private static HostedDeployment sDeployment;
    private static Settings sSettings;
    private static int sRequestCount;

    @BeforeAll
    static void start() {
        sDeployment = new HostedDeployment();
        sSettings = sDeployment.addGateway("vm-1");
        await().atMost(MAX_WAIT)
                .ignoreExceptions()
                .until(() -> call("GET /read/1", "").status() == 200);
        await().atMost(MAX_WAIT).until(() -> turn().status() == 200);
    }

    @AfterAll
    static void stop() {
        sDeployment.close();
    }

    @BeforeEach
    void resetTargets() {
        for (TargetStandIn target : targets()) {
            target.clearFaults();
            target.receivedRequests().clear();
            target.setUnframed(true);
        }
    }

    private static TargetStandIn[] targets() {
        return new TargetStandIn[] {
            sDeployment.engineA(), sDeployment.engineB(), sDeployment.plain()
        };
    }

    private static String events() {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            events.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        return events.toString();
    }

    private static Response call(String method, String headers) throws IOException {
        return call("HTTP/1.1", method, headers);
    }

    private static Response call(String version, String method, String headers) throws IOException {
        String request =
                String.format(
                        "%s %s\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: r%d\r\n"
                                + "X-Heathercourse-Request-Deadline: 2500\r\n%s\r\n",
                        method,
                        version,
                        HostedDeployment.HOST,
                        HostedDeployment.KEY,
                        ++sRequestCount,
                        headers);
        try (RawCaller caller = new RawCaller(sSettings.endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(request);
        }
    }

    private static Response turn() throws IOException {
        return call("POST /stream/turn", "Content-Length: 0\r\n");
    }

    /** Both engines get the faults, as either may be selected; each serves its resumed streams. */
    private static void enqueueAtEngines(Fault... faults) {
        sDeployment.engineA().enqueueFaults(faults);
        sDeployment.engineB().enqueueFaults(faults);
    }

    private static int engineRuns() {
        return sDeployment.engineA().executedRequests().size()
                + sDeployment.engineB().executedRequests().size();
    }

    @Test
    void completeResponsesAreForwarded() throws IOException {
        assertThat(turn().body()).isEqualTo(ALL_EVENTS);
        assertThat(call("GET /read/1", "").body()).isEqualTo("answer to r" + sRequestCount);
        assertThat(engineRuns()).isEqualTo(1);
    }

    /** The failure of the incident: the caller got a part of an event and the last chunk. */
    @Test
    void streamThatEndsInsideEventIsResumed() throws IOException {
        enqueueAtEngines(Fault.BREAK_STREAM);
        assertThat(turn().body()).isEqualTo(ALL_EVENTS);
        assertThat(engineRuns()).isEqualTo(2);
    }

    /** A stream that no target continues must look broken off. */
    @Test
    void streamThatAlwaysEndsInsideEventIsBrokenOff() throws IOException {
        enqueueAtEngines(
                Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM);
        Response response = turn();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }

    /** A reset proves that the response is incomplete, also between two events. */
    @Test
    void streamThatIsResetBetweenEventsIsResumed() throws IOException {
        enqueueAtEngines(Fault.RESET_STREAM);
        assertThat(turn().body()).isEqualTo(ALL_EVENTS);
        assertThat(engineRuns()).isEqualTo(2);
    }

    /** The end of a process closes its connections in order, so that only its port tells it. */
    @Test
    void streamWhoseTargetEndsBetweenEventsIsResumed() throws IOException {
        enqueueAtEngines(Fault.CRASH_IN_BODY);
        Response response = turn();
        sDeployment.engineA().clearFaults();
        sDeployment.engineB().clearFaults();
        assertThat(response.body()).isEqualTo(ALL_EVENTS);
        await().atMost(MAX_WAIT).until(() -> turn().isComplete());
    }

    /** Guards the same for a body that is not a stream and cannot be requested again. */
    @Test
    void bodyWhoseTargetEndsIsNotForwarded() throws IOException {
        sDeployment.plain().enqueueFaults(Fault.CRASH_IN_BODY);
        Response response = call("POST /order/1", "Content-Length: 0\r\n");
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        await().atMost(MAX_WAIT).until(() -> call("GET /read/1", "").status() == 200);
    }

    /** A caller of HTTP/1.0 knows no chunks: its response, too, ends with its connection. */
    @Test
    void callerOfOldVersionSeesThatStreamIsBrokenOff() throws IOException {
        assertThat(call("HTTP/1.0", "POST /stream/turn", "Content-Length: 0\r\n").body())
                .isEqualTo(ALL_EVENTS);
        enqueueAtEngines(
                Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM, Fault.BREAK_STREAM);
        Response response = call("HTTP/1.0", "POST /stream/turn", "Content-Length: 0\r\n");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }
}
