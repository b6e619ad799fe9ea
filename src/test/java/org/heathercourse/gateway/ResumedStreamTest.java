package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a stream that broke off and in which the caller finds something else than the
 * missing events: an error, events of a second run, or an end that looks complete.
 */
class ResumedStreamTest {
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

    @ParameterizedTest
    @EnumSource(
            names = {
                "FAIL",
                "REFUSE",
                "UNSIGNED",
                "NO_CONTENT",
                "OTHER_BODY",
                "RESTART_STREAM",
                "SKIP_EVENT",
                "LOSE_ANSWER",
                "EXTRA_ANSWER"
            })
    void otherResponseIsNotTakenForRestOfStream(Fault fault) throws IOException {
        for (boolean unframed : new boolean[] {false, true}) {
            sFixture.resetTargets();
            sFixture.setUnframed(unframed);
            sFixture.enqueueAtEngines(Fault.BREAK_STREAM, fault);
            assertThat(sFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        }
    }

    /** Without the missing events the response must look broken off. */
    @ParameterizedTest
    @EnumSource(names = {"FAIL", "NO_CONTENT", "OTHER_BODY", "RESTART_STREAM", "SKIP_EVENT"})
    void streamThatNoResponseContinuesIsBrokenOff(Fault fault) throws IOException {
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM, fault, fault, fault, fault);
        Response response = sFixture.stream();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.isComplete()).isFalse();
    }

    /** No target can be told where to go on; a second run would repeat events. */
    @Test
    void streamWithoutIdsIsNotResumed() throws IOException {
        sFixture.enqueueAtEngines(Fault.BREAK_STREAM_WITHOUT_IDS);
        assertThat(sFixture.stream().isComplete()).isFalse();
        assertThat(sFixture.runCount()).isEqualTo(1);
    }

    /** A body that is not a stream is forwarded whole, although its route is for streams. */
    @Test
    void otherBodyOfStreamingRouteIsForwarded() throws IOException {
        sFixture.enqueueAtEngines(Fault.OTHER_BODY);
        assertThat(sFixture.stream().body()).isEqualTo("failed");
    }
}
