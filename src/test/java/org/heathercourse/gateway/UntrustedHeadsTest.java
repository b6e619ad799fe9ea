package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.Crowd;
import org.heathercourse.testing.hosted.SmallGateway;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.Test;

/**
 * Guards against heads of legal size whose fields cost far more memory than their bytes: 3,900
 * fields of two characters in 300 unfinished heads exhausted a heap of 72 MB, and the process
 * stayed up without answering again.
 */
class UntrustedHeadsTest extends UntrustedCallers {
    private static final String HEAD = "GET / HTTP/1.1\r\nHost: x\r\n";

    @Test
    void unfinishedHeadsOnRoute() throws Exception {
        String head = gateway().head("GET /read/1") + fields();
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head, PIECE_BYTES);
    }

    @Test
    void unfinishedHeadsOnRouteInSmallPieces() throws Exception {
        String head = gateway().head("GET /read/1") + fields();
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head, 101);
    }

    @Test
    void unfinishedHeadsOnNoRoute() throws Exception {
        assertHoldsAgainst(Setting.CALLER_ADDRESS, HEAD + fields(), PIECE_BYTES);
    }

    @Test
    void unfinishedHeadsAtReadinessPort() throws Exception {
        String head = SmallGateway.readinessHead() + fields();
        assertHoldsAgainst(Setting.READINESS_ADDRESS, head, PIECE_BYTES);
    }

    @Test
    void unfinishedHeadsAtDirectoryPort() throws Exception {
        assertHoldsAgainst(Setting.DIRECTORY_ADDRESS, HEAD + fields(), PIECE_BYTES);
    }

    @Test
    void unfinishedHeadsAtMetricsPort() throws Exception {
        assertHoldsAgainst(Setting.METRICS_ADDRESS, HEAD + fields(), PIECE_BYTES);
    }

    @Test
    void unfinishedHeadsAtPeerPort() throws Exception {
        assertHoldsAgainst(Setting.PEER_ADDRESS, HEAD + fields(), PIECE_BYTES);
    }

    /** Frames of the handshake that stop before their end. */
    @Test
    void unfinishedHandshakesAtPeerPort() throws Exception {
        String frame = "\0\0\u000f\u00ff" + "x".repeat(4_080);
        assertHoldsAgainst(Setting.PEER_ADDRESS, frame, PIECE_BYTES);
    }

    /** The targets keep these calls open, and with them their headers. */
    @Test
    void finishedHeadsOfCallsThatTake() throws Exception {
        gateway().enqueueEngineFaults(Fault.STALLED_EVENT, CROWD);
        String head = gateway().head("POST /stream/1") + "Content-Length: 0\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + fields() + "\r\n", PIECE_BYTES);
    }

    /** The body that never comes keeps a finished head. */
    @Test
    void finishedHeadsBeforeMissingBodies() throws Exception {
        String head = gateway().head("POST /order/1") + "Content-Length: 10\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + fields() + "\r\n", PIECE_BYTES);
    }

    @Test
    void finishedHeadsOnNoRoute() throws Exception {
        String head = (HEAD + fields() + "\r\n").repeat(20);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head, PIECE_BYTES);
    }

    @Test
    void finishedHeadsBeforeMissingBodiesAtReadinessPort() throws Exception {
        String head = SmallGateway.readinessHead() + "Content-Length: 10\r\n";
        assertHoldsAgainst(Setting.READINESS_ADDRESS, head + fields() + "\r\n", PIECE_BYTES);
    }

    @Test
    void unfinishedTrailers() throws Exception {
        String head = gateway().head("POST /order/1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + fields(), PIECE_BYTES);
    }

    /** Trailers beyond the limit of a head, up to the limit of the decoder. */
    @Test
    void longUnfinishedTrailers() throws Exception {
        String head = gateway().head("POST /order/1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + fields().repeat(4), PIECE_BYTES);
    }

    @Test
    void unfinishedTrailersAtReadinessPort() throws Exception {
        String head = SmallGateway.readinessHead() + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        assertHoldsAgainst(Setting.READINESS_ADDRESS, head + fields(), PIECE_BYTES);
    }

    /** Extensions of a chunk beyond the limit of a head, up to the limit of the decoder. */
    @Test
    void unfinishedChunkExtensions() throws Exception {
        String head = gateway().head("POST /order/1") + "Transfer-Encoding: chunked\r\n\r\n3";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + ";a=b".repeat(16_000), PIECE_BYTES);
    }

    @Test
    void queriesOfManyFields() throws Exception {
        String query = "/read/1?" + "a&".repeat(8_000);
        String head = gateway().head("GET " + query) + "\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head.repeat(20), PIECE_BYTES);
    }

    @Test
    void queriesOfManyFieldsAtReadinessPort() throws Exception {
        String query = "/api/readiness?" + "a&".repeat(1_500);
        String head = "GET " + query + " HTTP/1.1\r\nHost: x\r\n\r\n";
        assertHoldsAgainst(Setting.READINESS_ADDRESS, head.repeat(20), PIECE_BYTES);
    }

    @Test
    void cookiesOfManyFields() throws Exception {
        gateway().enqueueEngineFaults(Fault.STALLED_EVENT, CROWD);
        String cookies = "Cookie: " + "a=b;".repeat(4_000) + "\r\n";
        String head = gateway().head("POST /stream/1") + "Content-Length: 0\r\n";
        assertHoldsAgainst(Setting.CALLER_ADDRESS, head + cookies + "\r\n", PIECE_BYTES);
    }

    /** A gateway without other work serves a single request within the limits. */
    @Test
    void singleRequestOfManyFieldsIsServed() throws Exception {
        String head = gateway().head("GET /read/1") + fields();
        assertThat(gateway().status(Setting.CALLER_ADDRESS, head)).isEqualTo(200);
        String readiness = SmallGateway.readinessHead() + "a:\r\n".repeat(1_900);
        assertThat(gateway().status(Setting.READINESS_ADDRESS, readiness)).isEqualTo(200);
    }

    /** Unfinished heads on all ports at once: a bound holds for the sum over all callers. */
    @Test
    void unfinishedHeadsAtAllPortsTogether() throws Exception {
        try (Crowd crowd = new Crowd()) {
            String head = gateway().head("GET /read/1") + fields();
            crowd.add(CROWD / 4, gateway().address(Setting.CALLER_ADDRESS), head);
            crowd.add(CROWD / 4, gateway().address(Setting.READINESS_ADDRESS), HEAD + fields());
            crowd.add(CROWD / 4, gateway().address(Setting.DIRECTORY_ADDRESS), HEAD + fields());
            crowd.add(CROWD / 4, gateway().address(Setting.METRICS_ADDRESS), HEAD + fields());
            crowd.send(PIECE_BYTES);
            gateway().assertHolds(CROWD);
        }
        gateway().assertHolds(CROWD);
    }
}
