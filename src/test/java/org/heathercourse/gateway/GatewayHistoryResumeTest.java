package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.heathercourse.gateway.HistoryFixture.Turn;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against turns that are kept without the events that their callers had before they resumed
 * the streams, as after the death of a gateway (review/9).
 */
class GatewayHistoryResumeTest {
    private static final String LAST_EVENT = "Last-Event-Id";

    private static HistoryFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new HistoryFixture().addGateways(2);
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void resetTargets() {
        sFixture.resetTargets();
    }

    /** Asserts that a response is complete and has only the events from a number on. */
    private static void assertEventsFrom(int first, Response response) {
        StringBuilder expected = new StringBuilder();
        for (int i = first; i <= TargetStandIn.EVENT_COUNT; i++) {
            expected.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isTrue();
        assertThat(response.body()).isEqualTo(expected.toString());
    }

    /** Asserts that the next turn runs with the whole output of the last one. */
    private static void assertKeptWhole(String earlier, String input) throws IOException {
        String turn = sFixture.lastId();
        sFixture.resetTargets();
        String next = sFixture.runTurn(0, Turn.after(turn, "next"));
        assertThat(sFixture.receivedBody(next))
                .isEqualTo(earlier + input + HistoryFixture.output() + "next");
    }

    @Test
    void resumedTurnIsKeptWithTheEventsBefore() throws IOException {
        assertEventsFrom(4, sFixture.resume(1, "3", Turn.first("i")));
        assertKeptWhole("", "i");
    }

    @Test
    void resumedTurnThatContinuesAnotherIsKeptWhole() throws IOException {
        String first = sFixture.runTurn(0, Turn.first("i"));
        assertEventsFrom(2, sFixture.resume(1, "1", Turn.after(first, "j")));
        assertThat(sFixture.receivedBody(sFixture.lastId()))
                .isEqualTo("i" + HistoryFixture.output() + "j");
        assertKeptWhole("i" + HistoryFixture.output(), "j");
    }

    /** Guards against output that is kept twice when the target breaks off as well. */
    @Test
    void targetThatBreaksOffBeforeTheNewEventsIsContinued() throws IOException {
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM);
        assertEventsFrom(5, sFixture.resume(0, "4", Turn.first("i")));
        List<ReceivedRequest> attempts = sFixture.received(sFixture.lastId());
        assertThat(attempts).hasSizeGreaterThan(1);
        assertThat(attempts.stream().filter(attempt -> attempt.headers().get(LAST_EVENT) == null))
                .as("attempts from the start")
                .hasSize(1);
        assertKeptWhole("", "i");
    }

    /** Guards against a turn that is lost because only its end was missing. */
    @Test
    void callerThatLacksOnlyTheEndGetsIt() throws IOException {
        String last = Integer.toString(TargetStandIn.EVENT_COUNT);
        Response response = sFixture.resume(0, last, Turn.first("i"));
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isTrue();
        assertThat(response.body()).isEmpty();
        assertKeptWhole("", "i");
    }

    /** Guards against an empty response that looks complete. */
    @Test
    void eventThatTheStreamLacksIsAnError() throws IOException {
        Response response = sFixture.resume(0, "77", Turn.first("i"));
        assertThat(response.status()).isEqualTo(502);
        Response next = sFixture.call(1, Turn.after(sFixture.lastId(), "j"));
        assertThat(next.status()).as("nothing was kept").isEqualTo(404);
    }

    /** Guards against events that a caller on a route without resumption takes for the rest. */
    @Test
    void routeWithoutResumptionSendsTheWholeStream() throws IOException {
        Turn turn = Turn.first("i").withPath("/kept-once/stream");
        assertEventsFrom(1, sFixture.resume(0, "3", turn));
        assertThat(sFixture.received(sFixture.lastId()))
                .hasSize(1)
                .allMatch(attempt -> attempt.headers().get(LAST_EVENT) == null);
        assertKeptWhole("", "i");
    }

    @Test
    void blankIdResumesNothing() throws IOException {
        assertEventsFrom(1, sFixture.resume(0, " ", Turn.first("i")));
        assertKeptWhole("", "i");
    }
}
