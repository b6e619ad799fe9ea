package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.testing.MalformedInputLoad;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against malformed input that affects the requests or responses of other callers. */
class MalformedInputTest {
    private static final long SEED = 7;
    private static final String REQUEST =
            "GET /none/1 HTTP/1.1\r\nHost: unknown.example\r\nConnection: close\r\n"
                    + "X-Heathercourse-Request-Id: r1\r\n\r\n";

    private GatewayFixture mFixture;

    @BeforeEach
    void start() {
        mFixture = new GatewayFixture();
        mFixture.startGateway();
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    @Tag("known-red")
    @Test
    void bytesStayOnTheirConnection() throws InterruptedException {
        MalformedInputLoad load =
                new MalformedInputLoad(
                        mFixture.callerAddress(),
                        REQUEST,
                        r -> r.startsWith("HTTP/1.1 404 ") && r.contains("\"not_run\":true"),
                        SEED);
        assertThat(load.run()).as("seed " + SEED).isEmpty();
        assertThat(load.expectedCount()).isPositive();
    }
}
