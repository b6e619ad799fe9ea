package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to targets in an evacuated zone, and against requests there that are cut
 * off.
 */
class EvacuationTest {
    private static final String ALL_EVENTS = GatewayFixture.allEvents();
    private static final String ZONE = "zone-b";
    private static final int TARGET_COUNT = 3;
    private static final int REQUEST_COUNT = 20;

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
        store().endEvacuation(ZONE);
        register("ready");
        sFixture.awaitUsableTargets(TARGET_COUNT);
        sFixture.resetTargets();
    }

    @AfterEach
    void endOutage() {
        store().setMode(StoreStandIn.Mode.SERVES);
    }

    private static void register(String state) {
        store().register("engine-a", engine().row("engines", "zone-a", state));
        TargetStandIn evacuated = evacuated();
        store().register(evacuated.id(), evacuated.row("engines", ZONE, "ready"));
    }

    private static StoreStandIn store() {
        return sFixture.deployment().store();
    }

    private static TargetStandIn engine() {
        return sFixture.deployment().engineA();
    }

    /** Returns the engine in the zone that the tests evacuate. */
    private static TargetStandIn evacuated() {
        return sFixture.deployment().engineB();
    }

    private static void evacuate() {
        store().evacuate(ZONE, "{}");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("zones_evacuated 1\n"));
    }

    private static void assertServedOnlyOutsideZone() throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        }
        assertThat(evacuated().receivedRequests()).isEmpty();
    }

    /** Guards against a zone that is still used, also as the only one that is preferred. */
    @Test
    void evacuatedZoneGetsNoRequests() throws IOException {
        evacuate();
        assertServedOnlyOutsideZone();
    }

    /** Guards against retries of refused requests that go to the evacuated zone. */
    @Test
    void refusedRequestIsNotRetriedInEvacuatedZone() throws IOException {
        evacuate();
        engine().enqueueFaults(Fault.REFUSE);
        assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        assertThat(engine().receivedRequests()).hasSize(2);
        assertThat(evacuated().receivedRequests()).isEmpty();
    }

    /** Guards against evacuations that go beyond their end. */
    @Test
    void zoneIsUsedAgainAfterEvacuation() throws IOException {
        evacuate();
        sFixture.awaitUsableTargets(TARGET_COUNT - 1);
        store().endEvacuation(ZONE);
        sFixture.awaitUsableTargets(TARGET_COUNT);
        store().register("engine-a", engine().row("engines", "zone-a", "draining"));
        sFixture.awaitUsableTargets(TARGET_COUNT - 1);
        assertThat(sFixture.stream().body()).isEqualTo(ALL_EVENTS);
        assertThat(evacuated().receivedRequests()).hasSize(1);
    }

    private static CompletableFuture<Response> startSlowStreamInZone() {
        store().register("engine-a", engine().row("engines", "zone-a", "draining"));
        sFixture.awaitUsableTargets(TARGET_COUNT - 1);
        CompletableFuture<Response> stream =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return sFixture.call(
                                        "POST /stream/1?event_interval_ms=400",
                                        GatewayFixture.EMPTY_BODY);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> !evacuated().executedRequests().isEmpty());
        return stream;
    }

    /** Guards against an evacuation that cuts off the requests that run in the zone. */
    @Test
    void requestInFlightEndsNormally() throws IOException {
        int cancelledBefore = evacuated().cancelledCount();
        CompletableFuture<Response> stream = startSlowStreamInZone();
        evacuate();
        assertThat(sFixture.metrics()).contains("requests_in_evacuated_zones 1\n");
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(evacuated().cancelledCount()).isEqualTo(cancelledBefore);
    }

    /** Guards against resuming a stream at a target in the zone, which runs on after a reset. */
    @Test
    void brokenStreamIsNotResumedInEvacuatedZone() {
        evacuated().enqueueFaults(Fault.RESET_STREAM);
        CompletableFuture<Response> stream = startSlowStreamInZone();
        evacuate();
        assertThat(stream.join().isComplete()).isFalse();
        assertThat(evacuated().receivedRequests()).hasSize(1);
    }

    /** Guards against the end of a process in the zone that stops its streams from going on. */
    @Test
    void streamIsResumedOutsideZoneWhenItsTargetHasEnded() {
        CompletableFuture<Response> stream = startSlowStreamInZone();
        store().register("engine-a", engine().row("engines", "zone-a", "ready"));
        sFixture.awaitUsableTargets(TARGET_COUNT);
        evacuate();
        evacuated().crash();
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(engine().executedRequests()).hasSize(1);
    }

    /** Guards against a row in disorder that ends an evacuation. */
    @Test
    void unreadableRowEndsNoEvacuation() throws IOException {
        evacuate();
        store().evacuate(ZONE, "{");
        store().evacuate("zone-a", "not json");
        store().evacuate("", "{}");
        store().evacuate("zone-c", "{}");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.metrics().contains("zones_evacuated 2\n"));
        assertServedOnlyOutsideZone();
        store().endEvacuation("zone-a");
        store().endEvacuation("zone-c");
    }

    /** Guards against a gateway that forgets an evacuation while it cannot read the store. */
    @Test
    void evacuationStaysInForceDuringOutage() throws Exception {
        evacuate();
        store().setMode(StoreStandIn.Mode.REFUSES);
        Thread.sleep(1_500);
        assertServedOnlyOutsideZone();
    }
}
