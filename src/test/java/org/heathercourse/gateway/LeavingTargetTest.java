package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a target that gets no new requests being taken for one whose process has ended, or
 * whose end need not be looked at.
 */
class LeavingTargetTest {
    private static final String ALL_EVENTS = GatewayFixture.allEvents();
    private static final int TARGET_COUNT = 3;

    /** Time between two events, in which the gateway reads the row of a target that leaves. */
    private static final int EVENT_INTERVAL_MILLIS = 400;

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
        sFixture.engines().forEach(engine -> sFixture.registerEngine(engine, "ready"));
        sFixture.awaitUsableTargets(TARGET_COUNT);
        await().atMost(GatewayFixture.MAX_WAIT).until(() -> sFixture.stream().isComplete());
        sFixture.resetTargets();
    }

    private static CompletableFuture<Response> startSlowStream() {
        String uri = "POST /stream/1?event_interval_ms=" + EVENT_INTERVAL_MILLIS;
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return sFixture.call(uri, GatewayFixture.EMPTY_BODY);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static TargetStandIn awaitRunningEngine() {
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> sFixture.engines().stream().anyMatch(LeavingTargetTest::hasRun));
        return sFixture.engines().stream().filter(LeavingTargetTest::hasRun).findAny().get();
    }

    private static boolean hasRun(TargetStandIn engine) {
        return !engine.executedRequests().isEmpty();
    }

    private static void announceLeaving(TargetStandIn engine) {
        sFixture.registerEngine(engine, "draining");
        sFixture.awaitUsableTargets(TARGET_COUNT - 1);
    }

    private static void removeRow(TargetStandIn engine) {
        sFixture.deployment().store().unregister(engine.id());
        sFixture.awaitUsableTargets(TARGET_COUNT - 1);
    }

    /**
     * The end of a process closes its connections in order, so that a stream without a length looks
     * complete; the gateway did not look whether a target that leaves had ended.
     */
    @Test
    void unframedStreamCutOffByEndOfLeavingTargetIsResumed() {
        sFixture.setUnframed(true);
        CompletableFuture<Response> stream = startSlowStream();
        TargetStandIn engine = awaitRunningEngine();
        announceLeaving(engine);
        engine.crash();
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }

    /** Guards the same for a target whose row is gone while it goes on serving. */
    @Test
    void unframedStreamCutOffByEndOfUnlistedTargetIsResumed() {
        sFixture.setUnframed(true);
        CompletableFuture<Response> stream = startSlowStream();
        TargetStandIn engine = awaitRunningEngine();
        removeRow(engine);
        engine.crash();
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }

    /** An unframed stream of a leaving target that goes on running is whole. */
    @Test
    void unframedStreamOfLeavingTargetIsForwarded() {
        sFixture.setUnframed(true);
        CompletableFuture<Response> stream = startSlowStream();
        announceLeaving(awaitRunningEngine());
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    /**
     * A target that leaves, or whose row is gone, goes on with its requests. The gateway sent a
     * request of which the connection was reset to a second target, although the route allows one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamResetAtLeavingTargetRunsNowhereElse(boolean listed) {
        sFixture.enqueueAtEngines(Fault.RESET_STREAM);
        CompletableFuture<Response> stream = startSlowStream();
        TargetStandIn engine = awaitRunningEngine();
        if (listed) {
            announceLeaving(engine);
        } else {
            removeRow(engine);
        }
        Response response = stream.join();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    /** A target that has ended does not count, so that a stream goes on at another one. */
    @Test
    void streamIsResumedElsewhereWhenLeavingTargetHasEnded() {
        CompletableFuture<Response> stream = startSlowStream();
        TargetStandIn engine = awaitRunningEngine();
        announceLeaving(engine);
        engine.crash();
        assertThat(stream.join().body()).isEqualTo(ALL_EVENTS);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }
}
