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

/**
 * Guards against an earlier refusal that a target writes once more on a kept connection: it must
 * not be taken for the answer to a request that the target runs, which would be called not run, or
 * run again.
 */
class StaleRefusalTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);
    private static final String EMPTY_BODY = "Content-Length: 0\r\n";

    /** Longer than the shortest idle time of a connection before its next request. */
    private static final long REUSE_DELAY_MILLIS = 30;

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
        await().atMost(MAX_WAIT).until(() -> call("POST /stream/1", EMPTY_BODY).status() == 200);
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
        }
    }

    private static List<TargetStandIn> targets() {
        return List.of(sDeployment.engineA(), sDeployment.engineB(), sDeployment.plain());
    }

    private static Response call(String method, String headers) throws IOException {
        String request =
                String.format(
                        "%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: r%d\r\n"
                                + "X-Heathercourse-Request-Deadline: 2500\r\n%s\r\n",
                        method,
                        HostedDeployment.HOST,
                        HostedDeployment.KEY,
                        ++sRequestCount,
                        headers);
        try (RawCaller caller = new RawCaller(sSettings.endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(request);
        }
    }

    private static long runCount() {
        String id = "r" + sRequestCount;
        return targets().stream()
                .flatMap(target -> target.executedRequests().stream())
                .filter(request -> request.id().equals(id))
                .count();
    }

    /** The retry carries the id of the refused request, and so does the copy of the refusal. */
    @Test
    void refusalOfSameRequestIsNotTakenForAnswerToItsRetry() throws IOException {
        sDeployment.plain().enqueueFaults(Fault.REFUSE, Fault.REPEAT_REFUSAL);
        Response response = call("POST /order/1", EMPTY_BODY);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to r" + sRequestCount);
        assertThat(runCount()).isEqualTo(1);
    }

    @Test
    void refusalOfSameStreamIsNotTakenForAnswerToItsRetry() throws IOException {
        for (TargetStandIn engine : List.of(sDeployment.engineA(), sDeployment.engineB())) {
            engine.enqueueFaults(Fault.REFUSE, Fault.REPEAT_REFUSAL);
        }
        Response response = call("POST /stream/1", EMPTY_BODY);
        assertThat(response.body()).contains("token " + TargetStandIn.EVENT_COUNT);
        assertThat(runCount()).isEqualTo(1);
    }

    @Test
    void refusalOfAnotherRequestIsSkipped() throws Exception {
        sDeployment.plain().enqueueFaults(Fault.REFUSE);
        assertThat(call("POST /order/1", EMPTY_BODY).status()).isEqualTo(200);
        for (int i = 0; i < 4; i++) {
            Thread.sleep(REUSE_DELAY_MILLIS);
            sDeployment.plain().enqueueFaults(Fault.REPEAT_REFUSAL);
            assertThat(call("POST /order/1", EMPTY_BODY).status()).isEqualTo(200);
            assertThat(runCount()).isEqualTo(1);
        }
    }

    /** A refusal without an id may be a copy of an earlier one, so that it proves nothing. */
    @Test
    void refusalWithoutIdOnKeptConnectionDoesNotProveThatRequestDidNotRun() throws Exception {
        assertThat(call("POST /order/1", EMPTY_BODY).status()).isEqualTo(200);
        Thread.sleep(REUSE_DELAY_MILLIS);
        sDeployment.plain().enqueueFaults(Fault.REFUSAL_WITHOUT_ID);
        Response response = call("POST /order/1", EMPTY_BODY);
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        assertThat(runCount()).isEqualTo(1);
    }
}
