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
 * Guards against a target that stops within the head of its response, so that callers get a success
 * with an empty or short body.
 */
class CutHeadTest {
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

    @Test
    void idempotentRequestIsRepeated() throws IOException {
        sFixture.plain().enqueueFaults(Fault.CUT_HEAD);
        Response response = sFixture.call("GET /read/1", "");
        assertThat(response.body()).isEqualTo("answer to " + sFixture.lastRequestId());
        assertThat(sFixture.runCount()).isEqualTo(2);
    }

    @Test
    void nonIdempotentRequestMayHaveRun() throws IOException {
        sFixture.plain().enqueueFaults(Fault.CUT_HEAD);
        Response response = sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY);
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    @Test
    void streamIsResumed() throws IOException {
        sFixture.enqueueAtEngines(Fault.CUT_HEAD);
        assertThat(sFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        assertThat(sFixture.runCount()).isEqualTo(2);
    }
}
