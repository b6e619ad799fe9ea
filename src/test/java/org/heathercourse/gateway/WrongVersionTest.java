package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that fail because one target has another version of its weights. */
class WrongVersionTest {
    private static final String VERSION_HEADER = "X-Heathercourse-Expected-Version";
    private static final int MAX_REQUESTS = 100;

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

    /** Guards against a request that is given up, or sent again to the target that rejected it. */
    @Test
    void otherTargetRunsRequest() throws IOException {
        TargetStandIn wrong = sFixture.deployment().engineA();
        wrong.enqueueFaults(Fault.WRONG_VERSION);
        for (int i = 0; i < MAX_REQUESTS && wrong.receivedRequests().isEmpty(); i++) {
            assertThat(sFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        }
        assertThat(wrong.receivedRequests()).hasSize(1);
        assertThat(wrong.executedRequests()).isEmpty();
        assertThat(sFixture.runCount()).isEqualTo(1);
        assertThat(sFixture.deployment().engineB().executedRequests())
                .anyMatch(request -> request.id().equals(sFixture.lastRequestId()));
    }

    /** Guards against a status 421 that counts as a possible run of what may run once only. */
    @Test
    void nonIdempotentRequestRunsOnce() throws IOException {
        sFixture.plain().enqueueFaults(Fault.WRONG_VERSION);
        assertThat(sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY).status())
                .isEqualTo(200);
        assertThat(sFixture.runCount()).isEqualTo(1);
        assertThat(sFixture.plain().receivedRequests()).hasSize(2);
    }

    /** Guards against a version that the gateway expects by itself. */
    @Test
    void versionIsExpectedOnlyByCallers() throws IOException {
        sFixture.call("POST /order/1", GatewayFixture.EMPTY_BODY);
        sFixture.call("POST /order/2", GatewayFixture.EMPTY_BODY + VERSION_HEADER + ": 3\r\n");
        assertThat(sFixture.plain().receivedRequests())
                .extracting(WrongVersionTest::expectedVersion)
                .containsExactly(null, "3");
    }

    private static String expectedVersion(ReceivedRequest request) {
        return request.headers().get(VERSION_HEADER);
    }
}
