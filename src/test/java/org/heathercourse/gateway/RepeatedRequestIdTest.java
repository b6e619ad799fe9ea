package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards callers that send the same request id again: each request is answered by its own run. */
class RepeatedRequestIdTest {
    /** More than the connections that a gateway may have to a target. */
    private static final int REQUESTS = 100;

    private static GatewayFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    /** Guards against connections that all carried the id, and none may be opened. */
    @Test
    void callerThatAlwaysSendsSameIdIsServed() throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            sFixture.repeatRequestId();
            assertThat(sFixture.call("GET /read/1", "").status())
                    .as("request %d", i)
                    .isEqualTo(200);
        }
    }

    @Test
    void repeatedRequestGetsAnswerOfItsOwnRun() throws IOException {
        sFixture.plain().enqueueFaults(Fault.FAIL);
        assertThat(sFixture.call("GET /read/1", "").status()).isEqualTo(500);
        sFixture.repeatRequestId();
        assertThat(sFixture.call("GET /read/1", "").status()).isEqualTo(200);
        assertThat(sFixture.runCount()).isEqualTo(2);
    }
}
