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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against entries that other writers leave among those of the targets: a gateway must
 * neither end, nor stop following the table, nor send or lose requests because of them.
 */
class OddEntriesTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);
    private static final int REQUESTS = 12;
    private static final int REFUSED_REQUESTS = 3;

    private final HostedDeployment mDeployment = new HostedDeployment();
    private Settings mSettings;
    private int mRequestCount;

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    private void startGateway() {
        mSettings = mDeployment.addGateway("vm-1");
        await().atMost(MAX_WAIT)
                .ignoreExceptions()
                .until(() -> call("GET /read/1", "").status() != 503);
    }

    private Response call(String method, String headers) throws IOException {
        String request =
                String.format(
                        "%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: r%d\r\n"
                                + "X-Heathercourse-Request-Deadline: 2500\r\n%s\r\n",
                        method,
                        HostedDeployment.HOST,
                        HostedDeployment.KEY,
                        ++mRequestCount,
                        headers);
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(request);
        }
    }

    private static String entry(String service, String address, String slots, String extra) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        + "\"slots\":%s,\"state\":\"ready\",\"sequence\":1,\"born\":1%s}",
                service, address, slots, extra);
    }

    private static String nested(int depth) {
        return ",\"unknown\":" + "[".repeat(depth) + "]".repeat(depth);
    }

    private void registerOddEntries(String service) {
        List<String> entries =
                List.of(
                        entry(service, "127.0.0.1:70000", "4", ""),
                        entry(service, "127.0.0.1:-5", "4", ""),
                        entry(service, "127.0.0.1:0", "4", ""),
                        entry(service, "no-such-host.example:80", "4", ""),
                        entry(service, "127.0.0.1:9", "9".repeat(20), ""),
                        entry(service, "127.0.0.1:9", "-4", ""),
                        entry(service, "127.0.0.1:9", "9".repeat(1_200), ""),
                        entry(service, "127.0.0.1:9", "\"4\"", nested(900)),
                        entry(service, "127.0.0.1:9", "4", nested(5_000)),
                        "[".repeat(20_000));
        for (int i = 0; i < entries.size(); i++) {
            mDeployment.store().register("odd-" + service + i, entries.get(i));
        }
        String sound = entry(service, "127.0.0.1:9", "4", "");
        mDeployment.store().register("odd\u00e9" + service, sound);
        mDeployment.store().register("odd " + service, sound);
    }

    private void assertAllKindsAreServed() throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(call("GET /read/1", "").status()).isEqualTo(200);
            String empty = "Content-Length: 0\r\n";
            assertThat(call("POST /order/1", empty).status()).isEqualTo(200);
            assertThat(call("POST /stream/1", empty).body())
                    .contains("token " + TargetStandIn.EVENT_COUNT);
        }
    }

    @Test
    void gatewayStartsAndServesBesideOddEntries() throws IOException {
        registerOddEntries("office");
        registerOddEntries("engines");
        startGateway();
        assertAllKindsAreServed();
    }

    @Test
    void gatewayFollowsTableBesideOddEntries() throws IOException {
        startGateway();
        registerOddEntries("office");
        registerOddEntries("engines");
        TargetStandIn engine = mDeployment.engineA();
        mDeployment.store().register(engine.id(), engine.row("engines", "zone-a", "draining"));
        await().atMost(MAX_WAIT)
                .until(
                        () -> {
                            engine.receivedRequests().clear();
                            assertAllKindsAreServed();
                            return engine.receivedRequests().isEmpty();
                        });
    }

    /** A request that no target can serve is refused at once, and its connection is kept. */
    @ParameterizedTest
    @ValueSource(
            strings = {"127.0.0.1:70000", "127.0.0.1:0", "no-such-host.example:80", "127.0.0.1:"})
    void serviceWithoutOtherEntriesRefusesRequests(String address) throws IOException {
        startGateway();
        TargetStandIn plain = mDeployment.plain();
        mDeployment.store().register(plain.id(), entry("office", address, "4", ""));
        await().atMost(MAX_WAIT).until(() -> call("GET /read/1", "").status() == 503);
        for (int i = 0; i < REFUSED_REQUESTS; i++) {
            Response response = call("POST /order/1", "Content-Length: 0\r\n");
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.headers()).containsKey("retry-after");
        }
        mDeployment.store().register(plain.id(), plain.row("office", "zone-a", "ready"));
        await().atMost(MAX_WAIT).until(() -> call("GET /read/1", "").status() == 200);
    }
}
