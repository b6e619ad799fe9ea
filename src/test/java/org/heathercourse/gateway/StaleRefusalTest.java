package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an earlier refusal that a target writes once more on a kept connection: it must
 * not be taken for the answer to a request that the target runs, which would be called not run, or
 * run again.
 */
class StaleRefusalTest {
    /** Longer than the shortest idle time of a connection before its next request. */
    private static final long REUSE_DELAY_MILLIS = 30;

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
        sFixture.resetTargets();
    }

    private static Response order() throws IOException {
        return sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY);
    }

    /** The retry carries the id of the refused request, and so does the copy of the refusal. */
    @Test
    void refusalOfSameRequestIsNotTakenForAnswerToItsRetry() throws IOException {
        sFixture.plain().enqueueFaults(Fault.REFUSE, Fault.REPEAT_REFUSAL);
        Response response = order();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to " + sFixture.lastRequestId());
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    @Test
    void refusalOfSameStreamIsNotTakenForAnswerToItsRetry() throws IOException {
        sFixture.enqueueAtEngines(Fault.REFUSE, Fault.REPEAT_REFUSAL);
        assertThat(sFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    @Test
    void refusalOfAnotherRequestIsSkipped() throws Exception {
        sFixture.plain().enqueueFaults(Fault.REFUSE);
        assertThat(order().status()).isEqualTo(200);
        for (int i = 0; i < 4; i++) {
            Thread.sleep(REUSE_DELAY_MILLIS);
            sFixture.plain().enqueueFaults(Fault.REPEAT_REFUSAL);
            assertThat(order().status()).isEqualTo(200);
            assertThat(sFixture.runCount()).isEqualTo(1);
        }
    }

    /** A refusal without an id may be a copy of an earlier one, so that it proves nothing. */
    @Test
    void refusalWithoutIdOnKeptConnectionDoesNotProveThatRequestDidNotRun() throws Exception {
        assertThat(order().status()).isEqualTo(200);
        Thread.sleep(REUSE_DELAY_MILLIS);
        sFixture.plain().enqueueFaults(Fault.REFUSAL_WITHOUT_ID);
        Response response = order();
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        assertThat(sFixture.runCount()).isEqualTo(1);
    }
}
