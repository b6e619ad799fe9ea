package org.heathercourse.gateway;

import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.Crowd;
import org.heathercourse.testing.hosted.SmallGateway;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that send many requests and read no responses, or read them very slowly:
 * what waits for them must not fill the memory.
 */
class UntrustedReadersTest extends UntrustedCallers {
    private static final int PIPELINED = 3_000;

    @Test
    void pipelinedRequestsOnRoute() throws Exception {
        String head = gateway().head("GET /read/1") + "\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head.repeat(PIPELINED), 65_536);
    }

    @Test
    void pipelinedRequestsOnNoRoute() throws Exception {
        String head = "GET / HTTP/1.1\r\n\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head.repeat(PIPELINED), 65_536);
    }

    /** Requests that wait behind a running call, each of the least size. */
    @Test
    void pipelinedRequestsBehindRunningCalls() throws Exception {
        gateway().enqueueEngineFaults(Fault.STALLED_EVENT, CROWD);
        String call = gateway().head("POST /stream/1") + "Content-Length: 0\r\n\r\n";
        String bytes = call + "G / HTTP/1.1\r\n\r\n".repeat(PIPELINED);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, 65_536);
    }

    /** Heads of many fields that wait behind a running call. */
    @Test
    void pipelinedHeadsOfManyFieldsBehindRunningCalls() throws Exception {
        gateway().enqueueEngineFaults(Fault.STALLED_EVENT, CROWD);
        String call = gateway().head("POST /stream/1") + "Content-Length: 0\r\n\r\n";
        String head = "GET / HTTP/1.1\r\n" + fields() + "\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, call + head.repeat(10), 65_536);
    }

    @Test
    void pipelinedRequestsAtReadinessPort() throws Exception {
        String head = SmallGateway.readinessHead() + "\r\n";
        assertHoldsAgainst(Setting.READINESS_ADDRESS, head.repeat(PIPELINED * 5), 65_536);
    }

    /** Each response is far longer than its request. */
    @Test
    void pipelinedRequestsAtMetricsPort() throws Exception {
        String head = "GET /metrics HTTP/1.1\r\n\r\n";
        assertHoldsAgainst(Setting.METRICS_ADDRESS, head.repeat(PIPELINED), 65_536);
    }

    @Test
    void pipelinedRequestsAtDirectoryPort() throws Exception {
        String head = "GET / HTTP/1.1\r\n\r\n";
        assertHoldsAgainst(Setting.DIRECTORY_ADDRESS, head.repeat(PIPELINED * 5), 65_536);
    }

    @Test
    void unreadStreams() throws Exception {
        gateway().enqueueEngineFaults(Fault.ENDLESS_EVENTS, CROWD / 2);
        String call = gateway().head("POST /stream/1") + "Content-Length: 0\r\n\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, call, PIECE_BYTES);
    }

    @Test
    void slowlyReadStreams() throws Exception {
        gateway().enqueueEngineFaults(Fault.ENDLESS_EVENTS, CROWD / 2);
        String call = gateway().head("POST /stream/1") + "Content-Length: 0\r\n\r\n";
        try (Crowd crowd = new Crowd()) {
            crowd.add(CROWD, gateway().address(Setting.CALLER_ADDRESS), call);
            crowd.send(PIECE_BYTES);
            crowd.readSlowly(50);
            gateway().assertHolds(CROWD);
        }
        gateway().assertHolds(CROWD);
    }

    /** Short bodies of a target, as large as a target may make them, that nobody reads. */
    @Test
    void unreadLongBodies() throws Exception {
        String call = gateway().head("GET /read/1?body_bytes=300000") + "\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, call, PIECE_BYTES);
    }
}
