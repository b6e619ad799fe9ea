package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a path or query that is changed between the caller and the target. */
class RequestTargetTest {
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

    /** Each character stands for one byte; the first one has bytes above 0x7f. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/read/caf\u00c3\u00a9?q=\u00ff\u0080",
                "/read/caf%C3%A9?q=%ff",
                "/read//a/./b/../c;x=1?",
                "/read/a+b%20c?x=1&&y==2&z"
            })
    void reachesTheTargetByteForByte(String uri) throws IOException {
        assertThat(sFixture.call("GET " + uri, "").status()).isEqualTo(200);
        assertThat(sFixture.plain().receivedRequests())
                .filteredOn(request -> sFixture.lastRequestId().equals(request.id()))
                .extracting(ReceivedRequest::uri)
                .containsExactly(uri);
    }
}
