package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.gateway.HistoryFixture.Turn;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against turns that a caller saw complete and that are lost, and against turns that run
 * although they were refused, when the store, a gateway or the caller goes away.
 */
class GatewayHistoryFaultsTest {
    private static final Duration MAX_WAIT = HistoryFixture.MAX_WAIT;
    private static final long GRACE_MILLIS = 3_000;

    /** Below the time without a reply after which the store counts as unavailable. */
    private static final long HELD_MILLIS = 300;

    private static final String LAST_EVENT = "data: token " + TargetStandIn.EVENT_COUNT;

    private final HistoryFixture mFixture = new HistoryFixture();

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private void awaitHeldRequest() {
        await().atMost(MAX_WAIT).until(() -> mFixture.store().heldCount() > 0);
    }

    /** Reads the lines of a response until its last event, whose end is not read. */
    private static void readToLastEvent(RawCaller caller) throws IOException {
        String line = caller.readLine();
        while (!line.equals(LAST_EVENT)) {
            line = caller.readLine();
        }
    }

    /** Returns whether the last chunk of a response follows, and not the end of the connection. */
    private static boolean readLastChunk(RawCaller caller) throws IOException {
        try {
            String line = caller.readLine();
            while (!line.equals("0")) {
                line = caller.readLine();
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static void assertNotRun(Response response) {
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.headers()).containsEntry("retry-after", "0.500");
        assertThat(response.body()).contains("\"not_run\":true");
    }

    private static boolean isWhole(Response response) {
        return response.status() == 200 && response.isComplete();
    }

    // Store

    /** Guards against turns that run although their end cannot be kept. */
    @Test
    void turnsAreRefusedWhileTheStoreIsKnownToBeAway() throws IOException {
        mFixture.addGateways(2);
        String first = mFixture.runTurn(0, Turn.first("i"));
        mFixture.store().setMode(StoreStandIn.Mode.REFUSES);
        // The first turns have to find out, and are broken off.
        await().atMost(MAX_WAIT).until(() -> mFixture.call(0, Turn.first("x")).status() == 503);
        for (String previous : new String[] {null, first}) {
            assertNotRun(mFixture.call(0, Turn.after(previous, "j")));
            assertThat(mFixture.received(mFixture.lastId())).isEmpty();
        }
        assertThat(mFixture.call(0, Turn.first("j").withPath("/stream/1")).status()).isEqualTo(200);
        mFixture.store().setMode(StoreStandIn.Mode.SERVES);
        await().atMost(MAX_WAIT)
                .until(() -> mFixture.call(0, Turn.after(first, "k")).status() == 200);
    }

    /** Guards against a false 404, which ends the caller's program, or a turn without history. */
    @Test
    void unreadableHistoryIsNotReportedAsAbsent() throws IOException {
        mFixture.addGateways(2);
        for (StoreStandIn.Mode mode :
                new StoreStandIn.Mode[] {
                    StoreStandIn.Mode.REFUSES,
                    StoreStandIn.Mode.UNRESPONSIVE,
                    StoreStandIn.Mode.LOSES_REPLIES
                }) {
            // The other gateway must read the turn, which it has not in its memory.
            String first = mFixture.runTurn(0, Turn.first("i"));
            mFixture.store().setMode(mode);
            Response response = mFixture.call(1, Turn.after(first, "j"));
            assertNotRun(response);
            assertThat(mFixture.received(mFixture.lastId())).isEmpty();
            mFixture.store().setMode(StoreStandIn.Mode.SERVES);
            for (int i = 0; i < 2; i++) {
                int gateway = i;
                await().atMost(MAX_WAIT)
                        .until(() -> mFixture.call(gateway, Turn.first("k")).status() == 200);
            }
        }
    }

    /** Guards against a response that looks complete although its turn is not durable. */
    @Test
    void responseIsBrokenOffIfTheStoreIsAwayAtItsEnd() throws IOException {
        mFixture.addGateways(1);
        mFixture.setEventIntervalMillis(50);
        try (RawCaller caller = mFixture.connect(0)) {
            caller.send(mFixture.request(Turn.first("i")));
            await().atMost(MAX_WAIT).until(caller::hasReceivedBytes);
            mFixture.store().setMode(StoreStandIn.Mode.REFUSES);
            readToLastEvent(caller);
            assertThat(readLastChunk(caller)).isFalse();
        }
        assertThat(mFixture.received(mFixture.lastId())).hasSize(1);
    }

    /** Guards against a success without events that is sent before its turn is durable. */
    @Test
    void responseWithoutEventsIsNoSuccessIfTheStoreIsAwayAtItsEnd() throws IOException {
        mFixture.addGateways(1);
        mFixture.enqueueAtEngines(TargetStandIn.Fault.OTHER_BODY);
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        // The write and the call end at the same deadline, and either may be first; both responses
        // say that the turn may have run.
        Response response = mFixture.call(0, Turn.first("i"));
        assertThat(response.status()).isIn(502, 504);
        assertThat(response.headers()).doesNotContainKey("retry-after");
        assertThat(response.body()).contains("\"not_run\":false");
    }

    /** Guards against events that wait for the write, and an end that does not. */
    @Test
    void onlyTheEndOfTheResponseWaitsForTheWrite() throws Exception {
        mFixture.addGateways(1);
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(0)) {
            caller.send(mFixture.request(Turn.first("i")));
            readToLastEvent(caller);
            awaitHeldRequest();
            assertThat(caller.readLine()).isEmpty();
            assertThat(caller.readLine()).isEmpty();
            Thread.sleep(HELD_MILLIS);
            assertThat(caller.hasReceivedBytes()).isFalse();
            mFixture.store().serveHeld();
            assertThat(readLastChunk(caller)).isTrue();
        }
    }

    /** Guards against a request that waits for its history and then has no time to run. */
    @Test
    void turnWhoseHistoryIsNotReadInTimeIsRefused() throws IOException {
        mFixture.addGateways(2);
        String first = mFixture.runTurn(0, Turn.first("i"));
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        assertNotRun(mFixture.call(1, Turn.after(first, "j")));
        mFixture.store().serveHeld();
        String refused = mFixture.lastId();
        await().atMost(MAX_WAIT)
                .until(() -> mFixture.call(1, Turn.after(first, "k")).status() == 200);
        assertThat(mFixture.received(refused)).isEmpty();
    }

    // Gateways

    /** Guards against turns that are refused, or lost, at a gateway that the store refuses. */
    @Test
    void chainGoesOnThroughGatewayThatTheStoreRefuses() throws Exception {
        try (StoreStandIn ownPort = new StoreStandIn(mFixture.store().rows())) {
            mFixture.addGateways(1).addGateways(1, ownPort);
            // Both gateways must be live members before the store refuses one of them.
            Thread.sleep(2_000);
            String first = mFixture.runTurn(0, Turn.first("i"));
            ownPort.setMode(StoreStandIn.Mode.REFUSES);
            await().atMost(MAX_WAIT).until(() -> isWhole(mFixture.call(1, Turn.after(first, "j"))));
            String second = mFixture.lastId();
            String third = mFixture.runTurn(0, Turn.after(second, "k"));
            String output = HistoryFixture.output();
            assertThat(mFixture.receivedBody(second)).isEqualTo("i" + output + "j");
            assertThat(mFixture.receivedBody(third)).isEqualTo("i" + output + "j" + output + "k");
        }
    }

    /** Guards against histories that live in the memory of gateways. */
    @Test
    void chainGoesOnAfterAllGatewaysHaveRestarted() throws IOException {
        mFixture.addGateways(2);
        String first = mFixture.runTurn(0, Turn.first("i"));
        mFixture.gateway(0).close();
        mFixture.gateway(1).close();
        mFixture.addGateways(2);
        String second = mFixture.runTurn(2, Turn.after(first, "j"));
        String output = HistoryFixture.output();
        assertThat(mFixture.receivedBody(second)).isEqualTo("i" + output + "j");
        mFixture.gateway(2).close();
        String third = mFixture.runTurn(3, Turn.after(second, "k"));
        assertThat(mFixture.receivedBody(third)).isEqualTo("i" + output + "j" + output + "k");
    }

    private CompletableFuture<Void> drain() {
        Ticker ticker = Ticker.system();
        long signalMillis = ticker.readMillis();
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        new GatewayDrain(mFixture.gateway(0), ticker).run(signalMillis);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** Guards against a planned stop that cuts off a response whose turn is being written. */
    @Test
    void plannedStopWaitsForTheWrite() throws Exception {
        mFixture.with(Setting.STOP_GRACE_SECONDS, "3").addGateways(1);
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(0)) {
            caller.send(mFixture.request(Turn.first("i")));
            awaitHeldRequest();
            CompletableFuture<Void> drained = drain();
            // The time in which the gateway still admits all requests is over.
            Thread.sleep(GRACE_MILLIS / 2);
            assertThat(drained).isNotDone();
            mFixture.store().serveHeld();
            assertThat(caller.readResponse().isComplete()).isTrue();
            drained.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against a stop that completes a response without its write, or never ends. */
    @Test
    void plannedStopBreaksOffTheResponseOfTurnThatIsNotWritten() throws Exception {
        mFixture.with(Setting.STOP_GRACE_SECONDS, "2").addGateways(1);
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(0)) {
            caller.send(mFixture.request(Turn.first("i")));
            awaitHeldRequest();
            CompletableFuture<Void> drained = drain();
            assertThat(caller.readResponse().isComplete()).isFalse();
            drained.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    // Callers

    /** Guards against a request that runs for a caller who left while its history was read. */
    @Test
    void requestDoesNotRunIfItsCallerLeavesDuringTheRead() throws IOException {
        mFixture.addGateways(2);
        String first = mFixture.runTurn(0, Turn.first("i"));
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(1)) {
            caller.send(mFixture.request(Turn.after(first, "j")));
            awaitHeldRequest();
        }
        await().atMost(MAX_WAIT).until(() -> mFixture.gateway(1).activeCallCount() == 0);
        String left = mFixture.lastId();
        mFixture.store().serveHeld();
        mFixture.runTurn(1, Turn.after(first, "k"));
        assertThat(mFixture.received(left)).isEmpty();
    }

    /** Guards against a call that never ends, or ends twice, if its caller leaves at its end. */
    @Test
    void callEndsIfItsCallerLeavesDuringTheWrite() throws IOException {
        mFixture.addGateways(1);
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(0)) {
            caller.send(mFixture.request(Turn.first("i")));
            readToLastEvent(caller);
            awaitHeldRequest();
        }
        await().atMost(MAX_WAIT).until(() -> mFixture.gateway(0).activeCallCount() == 0);
        mFixture.store().serveHeld();
        mFixture.runTurn(0, Turn.first("j"));
        assertThat(mFixture.gateway(0).activeCallCount()).isZero();
    }

    // Memory

    /** Guards against histories that take the memory of all other requests. */
    @Test
    void turnIsRefusedIfThereIsNoMemoryForItsHistory() throws IOException {
        mFixture.with(Setting.MAX_BUFFER_BYTES, "100000").addGateways(1);
        String first = mFixture.runTurn(0, Turn.first("x".repeat(40_000)));
        Response response = mFixture.call(0, Turn.after(first, "j"));
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.headers()).containsKey("retry-after");
        assertThat(response.body()).contains("\"not_run\":true");
        assertThat(mFixture.received(mFixture.lastId())).isEmpty();
        // The refused turn holds nothing back.
        mFixture.runTurn(0, Turn.first("x".repeat(60_000)));
    }
}
