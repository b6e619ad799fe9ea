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
import org.junit.jupiter.api.Test;

/**
 * Guards against targets that send bytes without end: they must not fill the memory of the gateway,
 * nor take the time of the request, which another attempt can still serve.
 */
class EndlessBytesTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);

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

    private static Response turn() throws IOException {
        return call(
                "POST /stream/turn",
                "X-Heathercourse-Program-Id: p"
                        + sRequestCount
                        + "\r\nX-Heathercourse-Token-Budget: 1000\r\n"
                        + "X-Heathercourse-Token-Usage: 100,50\r\nContent-Length: 0\r\n");
    }

    private static void assertReadIsServedDespite(Fault fault) throws IOException {
        TargetStandIn target = sDeployment.plain();
        int cancelledBefore = target.cancelledCount();
        target.enqueueFaults(fault);
        Response response = call("GET /read/1", "");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to r" + sRequestCount);
        await().atMost(MAX_WAIT).until(() -> target.cancelledCount() > cancelledBefore);
    }

    @Test
    void headerWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_HEADER);
    }

    @Test
    void informationalResponsesWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_INFORMATIONAL_RESPONSES);
    }

    @Test
    void bodyOfAnotherResponseWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_EXTRA_ANSWER);
    }

    @Test
    void eventWithoutEnd() throws IOException {
        sDeployment.engineA().enqueueFaults(Fault.ENDLESS_EVENT);
        sDeployment.engineB().enqueueFaults(Fault.ENDLESS_EVENT);
        Response response = turn();
        sDeployment.engineA().clearFaults();
        sDeployment.engineB().clearFaults();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).contains("token " + TargetStandIn.EVENT_COUNT);
    }
}
