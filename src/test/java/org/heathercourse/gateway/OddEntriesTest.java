package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.util.List;
import org.heathercourse.gateway.RawCaller.Response;
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
    private static final int REQUESTS = 12;
    private static final int REFUSED_REQUESTS = 3;

    private final GatewayFixture mFixture = new GatewayFixture();

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private void register(String id, String entry) {
        mFixture.deployment().store().register(id, entry);
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
            register("odd-" + service + i, entries.get(i));
        }
        String sound = entry(service, "127.0.0.1:9", "4", "");
        register("odd\u00e9" + service, sound);
        register("odd " + service, sound);
    }

    private void assertAllKindsAreServed() throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(mFixture.call("GET /read/1", "").status()).isEqualTo(200);
            assertThat(mFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY).status())
                    .isEqualTo(200);
            assertThat(mFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        }
    }

    @Test
    void gatewayStartsAndServesBesideOddEntries() throws IOException {
        registerOddEntries("office");
        registerOddEntries("engines");
        mFixture.startGateway();
        assertAllKindsAreServed();
    }

    @Test
    void gatewayFollowsTableBesideOddEntries() throws IOException {
        mFixture.startGateway();
        registerOddEntries("office");
        registerOddEntries("engines");
        TargetStandIn engine = mFixture.deployment().engineA();
        register(engine.id(), engine.row("engines", "zone-a", "draining"));
        await().atMost(GatewayFixture.MAX_WAIT)
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
        mFixture.startGateway();
        TargetStandIn plain = mFixture.plain();
        register(plain.id(), entry("office", address, "4", ""));
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.call("GET /read/1", "").status() == 503);
        for (int i = 0; i < REFUSED_REQUESTS; i++) {
            Response response = mFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY);
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.headers()).containsKey("retry-after");
        }
        register(plain.id(), plain.row("office", "zone-a", "ready"));
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.call("GET /read/1", "").status() == 200);
    }
}
