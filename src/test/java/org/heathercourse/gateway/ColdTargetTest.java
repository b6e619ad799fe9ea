package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that ignores which targets are cold, or rejects what others can run. */
class ColdTargetTest {
    private static final String ZONE = "zone-a";
    private static final int REQUEST_COUNT = 30;
    private static final int COLD_PER_SECOND = 5;

    private static GatewayFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
        store().configure(
                        String.format(
                                "{\"version\":100,\"routes\":[{\"name\":\"turns\",\"host\":\"%s\","
                                        + "\"prefix\":\"/stream/\",\"type\":\"streaming\","
                                        + "\"timeout_ms\":3000,\"service\":\"engines\"}],"
                                        + "\"services\":[{\"name\":\"engines\",\"cold_per_s\":%d,"
                                        + "\"cold_start_s\":60}],\"tenants\":[{\"name\":\"mill\","
                                        + "\"api_keys\":[\"%s\"]}],"
                                        + "\"limits\":{\"max_header_bytes\":%d}}",
                                HostedDeployment.HOST,
                                COLD_PER_SECOND,
                                HostedDeployment.KEY,
                                CallerLimits.DEFAULTS.maxHeaderBytes()));
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("configuration_version 100\n"));
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void resetTargets() {
        sFixture.engines().forEach(engine -> register(engine, 0));
        awaitColdTargets(0);
        sFixture.resetTargets();
    }

    private static StoreStandIn store() {
        return sFixture.deployment().store();
    }

    private static void register(TargetStandIn engine, long coldRemainingMillis) {
        String row = engine.row("engines", ZONE, "ready");
        store().register(
                        engine.id(),
                        row.replace(
                                "\"slots\"",
                                "\"cold_remaining_ms\":" + coldRemainingMillis + ",\"slots\""));
    }

    private static void awaitColdTargets(int count) {
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("targets_cold " + count + "\n"));
    }

    private static TargetStandIn engineA() {
        return sFixture.deployment().engineA();
    }

    private static TargetStandIn engineB() {
        return sFixture.deployment().engineB();
    }

    /** Guards against a cold target that gets its usual part, and against rejected requests. */
    @Test
    void warmTargetRunsWhatColdOneMayNot() throws IOException {
        register(engineA(), 60_000);
        awaitColdTargets(1);
        long start = System.nanoTime();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertThat(sFixture.stream().status()).isEqualTo(200);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        assertThat(engineA().receivedRequests().size())
                .isLessThanOrEqualTo((int) (1 + 0.6 * COLD_PER_SECOND * seconds));
        assertThat(engineB().receivedRequests().size()).isGreaterThan(REQUEST_COUNT / 2);
    }

    /** Guards against a burst where all targets are cold, and against a rejection that may run. */
    @Test
    void requestsBeyondRateOfColdTargetsAreRejectedAsNotRun() throws IOException {
        sFixture.engines().forEach(engine -> register(engine, 60_000));
        awaitColdTargets(2);
        long start = System.nanoTime();
        int answered = 0;
        for (int i = 0; i < 8; i++) {
            Response response = sFixture.stream();
            if (response.status() == 200) {
                answered++;
            } else {
                assertThat(response.status()).isIn(429, 503);
                assertThat(response.headers().keySet())
                        .anyMatch(name -> name.equalsIgnoreCase("retry-after"));
                assertThat(sFixture.runCount()).isZero();
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        int received = engineA().receivedRequests().size() + engineB().receivedRequests().size();
        assertThat(received).isEqualTo(answered);
        assertThat(received).isLessThanOrEqualTo((int) (2 * (1 + 0.6 * COLD_PER_SECOND * seconds)));
    }

    /** Guards against a burst at the end of an evacuation, before any row says that it is cold. */
    @Test
    void zoneIsColdWhenItsEvacuationEnds() throws IOException {
        store().register(engineB().id(), engineB().row("engines", "zone-b", "ready"));
        store().evacuate("zone-b", "{}");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("zones_evacuated 1\n"));
        store().endEvacuation("zone-b");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("zones_evacuated 0\n"));
        sFixture.resetTargets();
        store().register(engineA().id(), engineA().row("engines", ZONE, "draining"));
        sFixture.awaitUsableTargets(2);
        long start = System.nanoTime();
        for (int i = 0; i < 6; i++) {
            sFixture.stream();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        assertThat(engineB().receivedRequests().size())
                .isLessThanOrEqualTo((int) (1 + 0.6 * COLD_PER_SECOND * seconds));
    }
}
