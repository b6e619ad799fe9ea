package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards load sharing between gateways over their peer network, and its absence by default. */
class LoadSharingGatewayTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(15);
    private static final int GATEWAYS = 3;

    private final HostedDeployment mDeployment = new HostedDeployment();
    private int mRequestCount;

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    private RawCaller.Response stream(int gateway) throws IOException {
        return stream(gateway, 1_200);
    }

    private RawCaller.Response stream(int gateway, int promptTokens) throws IOException {
        try (RawCaller caller =
                new RawCaller(mDeployment.settings(gateway).endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(
                    String.format(
                            "POST /stream/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                    + "X-Heathercourse-Request-Id: l%d\r\n"
                                    + "X-Heathercourse-Program-Id: p%d\r\n"
                                    + "X-Heathercourse-Token-Usage: %d,30\r\n"
                                    + "X-Heathercourse-Request-Deadline: 2500\r\n"
                                    + "Content-Length: 0\r\n\r\n",
                            HostedDeployment.HOST,
                            HostedDeployment.KEY,
                            ++mRequestCount,
                            mRequestCount,
                            promptTokens));
        }
    }

    private void startGateways(String loadSharing) {
        for (int i = 0; i < GATEWAYS; i++) {
            mDeployment.addGateway("vm-" + i, Map.of(Setting.LOAD_SHARING, loadSharing));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            int gateway = i;
            await().atMost(MAX_WAIT)
                    .ignoreExceptions()
                    .until(() -> stream(gateway).status() == 200);
        }
    }

    private double metric(int gateway, String name) throws IOException {
        try (RawCaller caller =
                new RawCaller(mDeployment.settings(gateway).endpoint(Setting.METRICS_ADDRESS))) {
            String text = caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
            return text.lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                    .findFirst()
                    .orElseThrow();
        }
    }

    private double sum(String name) throws IOException {
        double sum = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            sum += metric(i, name);
        }
        return sum;
    }

    private void streamFromAll(int rounds) throws IOException {
        for (int i = 0; i < rounds; i++) {
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                assertThat(stream(gateway).status()).isEqualTo(200);
            }
        }
    }

    /** Returns the priority with which a target got the last request. */
    private int lastPriority() {
        return Stream.of(mDeployment.engineA(), mDeployment.engineB())
                .flatMap(engine -> engine.receivedRequests().stream())
                .filter(request -> ("l" + mRequestCount).equals(request.id()))
                .mapToInt(r -> r.headers().getInt("X-Heathercourse-Request-Priority"))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against long prompts that targets start before short ones. */
    @Test
    void targetsSeeShortPromptsAsMoreUrgent() throws IOException {
        startGateways("on");
        await().atMost(MAX_WAIT)
                .untilAsserted(
                        () -> {
                            stream(0, 1_200);
                            int shortPriority = lastPriority();
                            stream(0, 300_000);
                            assertThat(lastPriority()).isEqualTo(shortPriority + 2);
                        });
    }

    @Test
    void gatewaysUseTheLoadOfEachOther() throws IOException {
        mDeployment.engineA().setEventIntervalMillis(60);
        mDeployment.engineB().setEventIntervalMillis(60);
        startGateways("on");
        await().atMost(MAX_WAIT)
                .until(
                        () -> {
                            streamFromAll(2);
                            return sum("selections_by_shared_load_total") > 0;
                        });
        assertThat(sum("load_reports_sent")).isPositive();
        assertThat(sum("load_board_reports")).isPositive();
    }

    /** Guards against additional messages where no route retains histories. */
    @Test
    void sendsNothingByDefault() throws IOException {
        startGateways("auto");
        streamFromAll(10);
        stream(0, 1_200);
        int shortPriority = lastPriority();
        stream(0, 300_000);
        assertThat(lastPriority()).as("priority of the route").isEqualTo(shortPriority);
        assertThat(sum("load_reports_sent")).isZero();
        assertThat(sum("selections_by_own_load_total")).isZero();
        assertThat(sum("selections_by_shared_load_total")).isZero();
    }
}
