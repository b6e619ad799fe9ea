package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.gateway.HistoryFixture.Turn;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request whose key was valid when it arrived, and that is sent to a target after
 * it has waited although its key was withdrawn meanwhile, or may have been.
 */
class KeyOfWaitingRequestTest {
    /** Time in milliseconds by which the VM's clock advances while the VM is suspended. */
    private static final long SUSPENSION_MILLIS = 10_000;

    private static final String WITHDRAWAL_MILLIS = "5000";

    private final SteppedClock mClock = new SteppedClock();
    private final HistoryFixture mFixture =
            new HistoryFixture()
                    .withClock(mClock)
                    .with(Setting.KEY_WITHDRAWAL_MS, WITHDRAWAL_MILLIS);

    @AfterEach
    void stop() {
        mFixture.close();
    }

    /** Sends a turn that waits for its history, and lets it go on after some events. */
    private Response callAndMeanwhile(Runnable events) throws IOException {
        // The gateway that ran a turn need not read it.
        mFixture.addGateways(2);
        String first = mFixture.runTurn(0, Turn.first("i"));
        mFixture.store().holdTable(HistoryFixture.TURN_TABLE);
        try (RawCaller caller = mFixture.connect(1)) {
            caller.send(mFixture.request(Turn.after(first, "j")));
            await().atMost(HistoryFixture.MAX_WAIT).until(() -> mFixture.store().heldCount() > 0);
            events.run();
            mFixture.store().serveHeld();
            return caller.readResponse();
        }
    }

    private void assertRefused(Response response, int status, String kind) {
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.body()).contains(kind).contains("\"not_run\":true");
        assertThat(mFixture.received(mFixture.lastId())).isEmpty();
    }

    @Test
    void requestWhoseHistoryCameInTimeRuns() throws IOException {
        assertThat(callAndMeanwhile(() -> {}).status()).isEqualTo(200);
        assertThat(mFixture.received(mFixture.lastId())).hasSize(1);
    }

    /** Guards against a key that is looked at once, when the request arrives. */
    @Test
    void requestWhoseKeyWasWithdrawnIsNotSent() throws IOException {
        Response response =
                callAndMeanwhile(
                        () -> {
                            mFixture.deployment().configure("key-2", 1_000);
                            await().atMost(HistoryFixture.MAX_WAIT)
                                    .until(() -> mFixture.metrics(1).contains("_version 3\n"));
                        });
        assertRefused(response, 401, "unauthenticated");
    }

    /** Guards against a gateway that wakes and acts on a configuration that has become too old. */
    @Test
    void requestOfSuspendedGatewayIsNotSent() throws IOException {
        Response response =
                callAndMeanwhile(
                        () -> {
                            mFixture.store().setMode(StoreStandIn.Mode.UNRESPONSIVE);
                            mClock.advance(SUSPENSION_MILLIS);
                        });
        assertRefused(response, 503, "stale_configuration");
        assertThat(response.headers()).containsKey("retry-after");
    }
}
