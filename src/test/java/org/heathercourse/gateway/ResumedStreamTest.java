package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a stream that broke off and in which the caller finds something else than the
 * missing events: an error, events of a second run, or an end that looks complete.
 */
class ResumedStreamTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);
    private static final String EMPTY_BODY = "Content-Length: 0\r\n";

    private static HostedDeployment sDeployment;
    private static Settings sSettings;
    private static int sRequestCount;

    @BeforeAll
    static void start() {
        sDeployment = new HostedDeployment();
        sSettings = sDeployment.addGateway("vm-1");
        await().atMost(MAX_WAIT).ignoreExceptions().until(() -> turn().status() == 200);
    }

    @AfterAll
    static void stop() {
        sDeployment.close();
    }

    @BeforeEach
    void resetTargets() {
        for (TargetStandIn engine : engines()) {
            engine.clearFaults();
            engine.receivedRequests().clear();
            engine.setUnframed(false);
        }
    }

    private static List<TargetStandIn> engines() {
        return List.of(sDeployment.engineA(), sDeployment.engineB());
    }

    private static Response turn() throws IOException {
        String request =
                String.format(
                        "POST /stream/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: r%d\r\n"
                                + "X-Heathercourse-Request-Deadline: 2500\r\n%s\r\n",
                        HostedDeployment.HOST, HostedDeployment.KEY, ++sRequestCount, EMPTY_BODY);
        try (RawCaller caller = new RawCaller(sSettings.endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(request);
        }
    }

    private static String allEvents() {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            events.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        return events.toString();
    }

    /** A stream is resumed where it began, so that each engine gets the same faults. */
    private static void enqueueAtEngines(Fault... faults) {
        engines().forEach(engine -> engine.enqueueFaults(faults));
    }

    private static long runCount() {
        return engines().stream().mapToLong(engine -> engine.executedRequests().size()).sum();
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "FAIL",
                "REFUSE",
                "UNSIGNED",
                "NO_CONTENT",
                "OTHER_BODY",
                "RESTART_STREAM",
                "SKIP_EVENT",
                "LOSE_ANSWER",
                "EXTRA_ANSWER"
            })
    void otherResponseIsNotTakenForRestOfStream(Fault fault) throws IOException {
        for (boolean unframed : new boolean[] {false, true}) {
            resetTargets();
            engines().forEach(engine -> engine.setUnframed(unframed));
            enqueueAtEngines(Fault.BREAK_STREAM, fault);
            assertThat(turn().body()).isEqualTo(allEvents());
        }
    }

    /** Without the missing events the response must look broken off. */
    @ParameterizedTest
    @EnumSource(names = {"FAIL", "NO_CONTENT", "OTHER_BODY", "RESTART_STREAM", "SKIP_EVENT"})
    void streamThatNoResponseContinuesIsBrokenOff(Fault fault) throws IOException {
        enqueueAtEngines(Fault.BREAK_STREAM, fault, fault, fault, fault);
        Response response = turn();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }

    /** No target can be told where to go on; a second run would repeat events. */
    @Test
    void streamWithoutIdsIsNotResumed() throws IOException {
        enqueueAtEngines(Fault.BREAK_STREAM_WITHOUT_IDS);
        assertThat(turn().isComplete()).isFalse();
        assertThat(runCount()).isEqualTo(1);
    }

    /** A body that is not a stream is forwarded whole, although its route is for streams. */
    @Test
    void otherBodyOfStreamingRouteIsForwarded() throws IOException {
        enqueueAtEngines(Fault.OTHER_BODY);
        assertThat(turn().body()).isEqualTo("failed");
    }
}
