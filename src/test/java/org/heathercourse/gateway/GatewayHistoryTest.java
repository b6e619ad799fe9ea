package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.gateway.HistoryFixture.Turn;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against targets that receive another history than the caller's, and against turns that
 * exist without a complete response. All gateways reach the store.
 */
class GatewayHistoryTest {
    private static final int MAX_HISTORY_BYTES = 20_000;

    /** Every byte that could be taken for a line end, a chunk or text in another encoding. */
    private static final String BINARY_INPUT = "a\u0000\u00ff\r\n\n0\r\n\r\ndata: x\u00c3";

    private static HistoryFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture =
                new HistoryFixture()
                        .with(Setting.MAX_HISTORY_BYTES, Integer.toString(MAX_HISTORY_BYTES))
                        .addGateways(2);
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void resetTargets() {
        sFixture.resetTargets();
    }

    private static String output() {
        return HistoryFixture.output();
    }

    // What targets receive

    /** Guards against bytes that are lost, repeated or changed between gateways. */
    @Test
    void chainThroughTwoGatewaysIsSentByteForByte() throws IOException {
        String first = sFixture.runTurn(0, Turn.first(BINARY_INPUT));
        String second = sFixture.runTurn(1, Turn.after(first, "second"));
        String third = sFixture.runTurn(0, Turn.after(second, BINARY_INPUT));
        assertThat(sFixture.receivedBody(first)).isEqualTo(BINARY_INPUT);
        String secondBody = BINARY_INPUT + output() + "second";
        assertThat(sFixture.receivedBody(second)).isEqualTo(secondBody);
        assertThat(sFixture.receivedBody(third)).isEqualTo(secondBody + output() + BINARY_INPUT);
        ReceivedRequest received = sFixture.received(second).get(0);
        assertThat(received.headers().getAll("Content-Length"))
                .containsExactly(Integer.toString(secondBody.length()));
        assertThat(received.headers().get("X-Heathercourse-Previous-Turn")).isEqualTo(first);
    }

    /** Guards against a length that covers only the chunks, or none. */
    @Test
    void chunkedInputFollowsTheHistory() throws IOException {
        String first = sFixture.runTurn(0, Turn.first("first input").inChunks());
        String second = sFixture.runTurn(1, Turn.after(first, "second input").inChunks());
        String body = "first input" + output() + "second input";
        assertThat(sFixture.receivedBody(second)).isEqualTo(body);
        ReceivedRequest received = sFixture.received(second).get(0);
        assertThat(received.headers().getAll("Content-Length"))
                .containsExactly(Integer.toString(body.length()));
        assertThat(received.headers().get("Transfer-Encoding")).isNull();
    }

    /** Guards against a turn that changes what its siblings continue. */
    @Test
    void twoChildrenOfOneTurnHaveHistoriesOfTheirOwn() throws IOException {
        String parent = sFixture.runTurn(0, Turn.first("p"));
        String left = sFixture.runTurn(0, Turn.after(parent, "l"));
        String right = sFixture.runTurn(1, Turn.after(parent, "r"));
        String ofLeft = sFixture.runTurn(1, Turn.after(left, "x"));
        String ofRight = sFixture.runTurn(0, Turn.after(right, "y"));
        assertThat(sFixture.receivedBody(ofLeft)).isEqualTo("p" + output() + "l" + output() + "x");
        assertThat(sFixture.receivedBody(ofRight)).isEqualTo("p" + output() + "r" + output() + "y");
    }

    /** Guards against output with fields that are no data, or with its lines joined. */
    @Test
    void outputConsistsOfTheDataOfEvents() throws IOException {
        sFixture.setEventFormat(
                "x-heathercourse-weight-versions: 3\n: comment\ndata: t%d\ndata:  more\ndata\n");
        String first = sFixture.runTurn(0, Turn.first("i"));
        String second = sFixture.runTurn(1, Turn.after(first, "j"));
        StringBuilder expected = new StringBuilder("i");
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            expected.append("t").append(i).append("\n more\n\n");
        }
        assertThat(sFixture.receivedBody(second)).isEqualTo(expected + "j");
    }

    /** Guards against a resumed attempt without the history, and output of one attempt only. */
    @Test
    void resumedTurnHasOneHistoryAndOneOutput() throws IOException {
        String first = sFixture.runTurn(0, Turn.first("i"));
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM);
        String second = sFixture.runTurn(0, Turn.after(first, "j"));
        List<ReceivedRequest> attempts = sFixture.received(second);
        assertThat(attempts).hasSizeGreaterThan(1);
        assertThat(attempts)
                .allSatisfy(
                        attempt ->
                                assertThat(HistoryFixture.body(attempt))
                                        .isEqualTo("i" + output() + "j"));
        sFixture.resetTargets();
        String third = sFixture.runTurn(1, Turn.after(second, "k"));
        assertThat(sFixture.receivedBody(third)).isEqualTo("i" + output() + "j" + output() + "k");
    }

    /** Guards against a turn that is not kept because its target's response has no length. */
    @Test
    void responseThatEndsWithItsConnectionIsTurn() throws IOException {
        sFixture.setUnframed();
        String first = sFixture.runTurn(0, Turn.first("i"));
        String second = sFixture.runTurn(1, Turn.after(first, "j"));
        assertThat(sFixture.receivedBody(second)).isEqualTo("i" + output() + "j");
    }

    /** Guards against a history on routes that retain none, and against turns of such routes. */
    @Test
    void routeWithoutHistoryIsUnchanged() throws IOException {
        String kept = sFixture.runTurn(0, Turn.first("i"));
        String other = sFixture.runTurn(0, Turn.after(kept, "j").withPath("/stream/1"));
        assertThat(sFixture.receivedBody(other)).isEqualTo("j");
        ReceivedRequest received = sFixture.received(other).get(0);
        assertThat(received.headers().get("X-Heathercourse-Previous-Turn")).isEqualTo(kept);
        assertThat(sFixture.call(0, Turn.after(other, "k")).status()).isEqualTo(404);
    }

    // Which turns exist

    private static void assertNoTurn(String id) throws IOException {
        sFixture.resetTargets();
        Response response = sFixture.call(1, Turn.after(id, "next"));
        assertThat(response.status()).isEqualTo(404);
        assertThat(sFixture.received(sFixture.lastId())).isEmpty();
    }

    /** Guards against a history with the beginning of an output that the caller cannot use. */
    @Test
    void brokenStreamIsNoTurn() throws IOException {
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM_WITHOUT_IDS);
        assertThat(sFixture.call(0, Turn.first("i")).isComplete()).isFalse();
        assertNoTurn(sFixture.lastId());
    }

    /** Guards against a failure that becomes part of a history. */
    @Test
    void failedTurnIsNoTurn() throws IOException {
        sFixture.enqueueAtEngines(Fault.FAIL);
        Response response = sFixture.call(0, Turn.first("i"));
        assertThat(response.status()).isEqualTo(500);
        assertThat(response.body()).isEqualTo("failed");
        assertNoTurn(sFixture.lastId());
    }

    /** Guards against a false 404 after a complete success response without events. */
    @Test
    void successWithoutEventsIsTurn() throws IOException {
        for (Fault fault : List.of(Fault.OTHER_BODY, Fault.NO_CONTENT)) {
            sFixture.resetTargets();
            sFixture.enqueueAtEngines(fault);
            Response response = sFixture.call(0, Turn.first("i"));
            assertThat(response.status()).isBetween(200, 204);
            assertThat(response.isComplete()).isTrue();
            String first = sFixture.lastId();
            sFixture.resetTargets();
            String second = sFixture.runTurn(1, Turn.after(first, "j"));
            assertThat(sFixture.receivedBody(second)).isEqualTo("ij");
        }
    }

    /** Guards against histories that another workspace reads, or whose existence it learns. */
    @Test
    void turnOfOtherWorkspaceDoesNotExist() throws IOException {
        String turn = sFixture.runTurn(0, Turn.first("secret"));
        Turn foreign = Turn.after(turn, "j").withKey(HostedDeployment.OTHER_KEY);
        Response response = sFixture.call(0, foreign);
        assertThat(response.status()).isEqualTo(404);
        assertThat(sFixture.received(sFixture.lastId())).isEmpty();
        Turn unknown = Turn.after("never-sent", "j").withKey(HostedDeployment.OTHER_KEY);
        Response unknownResponse = sFixture.call(0, unknown);
        assertThat(unknownResponse.status()).isEqualTo(404);
        assertThat(unknownResponse.body()).isEqualTo(response.body());
        sFixture.runTurn(1, Turn.after(turn, "j"));
    }

    /** Guards against a turn that is refused or kept twice because a reply is lost. */
    @Test
    void lostReplyOfTheWriteDoesNotBreakTheTurn() throws IOException {
        sFixture.store().loseNextReplyTo(HistoryFixture.TURN_TABLE);
        String first = sFixture.runTurn(0, Turn.first("i"));
        assertThat(sFixture.store().hasLostReply()).isTrue();
        String second = sFixture.runTurn(1, Turn.after(first, "j"));
        assertThat(sFixture.receivedBody(second)).isEqualTo("i" + output() + "j");
    }

    /** Guards against a complete response whose turn the store rejected, and a changed history. */
    @Test
    void responseIsBrokenOffIfItsTurnIsRejected() throws IOException {
        String first = sFixture.runTurn(0, Turn.first("i"));
        sFixture.repeatId();
        Response repeated = sFixture.call(1, Turn.first("other"));
        assertThat(repeated.status()).isEqualTo(200);
        assertThat(repeated.isComplete()).isFalse();
        String second = sFixture.runTurn(0, Turn.after(first, "j"));
        assertThat(sFixture.receivedBody(second)).isEqualTo("i" + output() + "j");
    }

    // Limits

    /** Guards against requests of unbounded size. */
    @Test
    void historyBeyondTheMaximumIsRefused() throws IOException {
        String first = sFixture.runTurn(0, Turn.first("x".repeat(15_000)));
        assertThat(sFixture.call(1, Turn.after(first, "x".repeat(5_000))).status()).isEqualTo(413);
        assertThat(sFixture.received(sFixture.lastId())).isEmpty();
        String second = sFixture.runTurn(1, Turn.after(first, "x".repeat(4_940)));
        // Now the history alone exceeds the maximum.
        assertThat(sFixture.call(0, Turn.after(second, "")).status()).isEqualTo(413);
        assertThat(sFixture.received(sFixture.lastId())).isEmpty();
    }

    /** Guards against a complete response whose output was not kept whole. */
    @Test
    void responseWithTooMuchOutputIsBrokenOff() throws IOException {
        sFixture.enqueueAtEngines(Fault.ENDLESS_EVENTS);
        assertThat(sFixture.call(0, Turn.first("i")).isComplete()).isFalse();
        String id = sFixture.lastId();
        assertThat(sFixture.received(id)).hasSize(1);
        assertNoTurn(id);
    }
}
