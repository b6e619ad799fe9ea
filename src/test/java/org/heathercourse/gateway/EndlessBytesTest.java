package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against targets that send bytes without end: they must not fill the memory of the gateway,
 * nor take the time of the request, which another attempt can still serve.
 */
class EndlessBytesTest {
    private static GatewayFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    private static void assertReadIsServedDespite(Fault fault) throws IOException {
        TargetStandIn target = sFixture.plain();
        int cancelledBefore = target.cancelledCount();
        target.enqueueFaults(fault);
        Response response = sFixture.call("GET /read/1", "");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to " + sFixture.lastRequestId());
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> target.cancelledCount() > cancelledBefore);
    }

    @Test
    void headerWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_HEADER);
    }

    @Test
    void informationalResponsesWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_INFORMATIONAL_RESPONSES);
    }

    @Test
    void bodyOfAnotherResponseWithoutEnd() throws IOException {
        assertReadIsServedDespite(Fault.ENDLESS_EXTRA_ANSWER);
    }

    @Test
    void eventWithoutEnd() throws IOException {
        sFixture.enqueueAtEngines(Fault.ENDLESS_EVENT);
        Response response =
                sFixture.call(
                        "POST /stream/turn",
                        "X-Heathercourse-Program-Id: p1\r\nX-Heathercourse-Token-Budget: 1000\r\n"
                                + "X-Heathercourse-Token-Usage: 100,50\r\n"
                                + GatewayFixture.EMPTY_BODY);
        sFixture.resetTargets();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).contains("token " + TargetStandIn.EVENT_COUNT);
    }
}
