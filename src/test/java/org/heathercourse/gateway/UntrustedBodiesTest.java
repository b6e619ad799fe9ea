package org.heathercourse.gateway;

import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.SmallGateway;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.Test;

/**
 * Guards against bodies that many callers leave unfinished, in forms that cost more memory than
 * their bytes, and against bodies over the limit.
 */
class UntrustedBodiesTest extends UntrustedCallers {
    private static final String UNKNOWN = "POST /unknown HTTP/1.1\r\nHost: x\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final int BODY_BYTES = SmallGateway.MAX_BODY_BYTES;

    /** Number of bytes of a body in chunks of 3 bytes, which need 8 bytes each to send. */
    private static final int SMALL_CHUNKS_BYTES = 60_000;

    private static String declared() {
        return "Content-Length: "
                + BODY_BYTES
                + "\r\n\r\n"
                + "x".repeat(BODY_BYTES - MISSING_BYTES);
    }

    private static String smallChunks(int bytes) {
        return CHUNKED + "3\r\nxyz\r\n".repeat(bytes / 3);
    }

    @Test
    void unfinishedBodiesInOnePieceOnRoute() throws Exception {
        String bytes = gateway().head("POST /order/1") + declared();
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, BODY_BYTES * 2);
    }

    @Test
    void unfinishedBodiesInPiecesOnRoute() throws Exception {
        String bytes = gateway().head("POST /order/1") + declared();
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, 1_000);
    }

    @Test
    void unfinishedBodiesOnNoRoute() throws Exception {
        assertHoldsAgainst(Setting.CALLER_ADDRESS, UNKNOWN + declared(), PIECE_BYTES);
    }

    @Test
    void unfinishedBodiesAtReadinessPort() throws Exception {
        String bytes = SmallGateway.readinessHead() + declared();
        assertHoldsAgainst(Setting.READINESS_ADDRESS, bytes, PIECE_BYTES);
    }

    /** Bodies that the readiness port accepts by their size. */
    @Test
    void shortUnfinishedBodiesAtReadinessPort() throws Exception {
        String length = "Content-Length: 16000\r\n\r\n";
        String bytes = SmallGateway.readinessHead() + length + "x".repeat(15_990);
        assertHoldsAgainst(Setting.READINESS_ADDRESS, bytes, 50);
    }

    @Test
    void unfinishedSmallChunksOnRoute() throws Exception {
        String bytes = gateway().head("POST /order/1") + smallChunks(SMALL_CHUNKS_BYTES);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, PIECE_BYTES);
    }

    @Test
    void unfinishedSmallChunksOnNoRoute() throws Exception {
        String bytes = UNKNOWN + smallChunks(SMALL_CHUNKS_BYTES);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, PIECE_BYTES);
    }

    /** Chunks that the readiness port accepts by the size of the body. */
    @Test
    void unfinishedSmallChunksAtReadinessPort() throws Exception {
        String bytes = SmallGateway.readinessHead() + smallChunks(15_000);
        assertHoldsAgainst(Setting.READINESS_ADDRESS, bytes, PIECE_BYTES);
    }

    /** Each chunk comes in a read of its own, and may keep all of that read's memory. */
    @Test
    void unfinishedChunksOfOneByteAtReadinessPort() throws Exception {
        String bytes = SmallGateway.readinessHead() + CHUNKED + "1\r\nx\r\n".repeat(3_000);
        assertHoldsAgainst(Setting.READINESS_ADDRESS, bytes, 6);
    }

    @Test
    void unfinishedChunksOfOneByteAtMetricsPort() throws Exception {
        String bytes = SmallGateway.readinessHead() + CHUNKED + "1\r\nx\r\n".repeat(3_000);
        assertHoldsAgainst(Setting.METRICS_ADDRESS, bytes, 6);
    }

    /** Small chunks behind a running call, which the gateway queues. */
    @Test
    void smallChunksBehindRunningCalls() throws Exception {
        gateway().enqueueEngineFaults(Fault.STALLED_EVENT, CROWD);
        String call = gateway().head("POST /stream/1") + "Content-Length: 0\r\n\r\n";
        String behind = gateway().head("POST /order/1") + smallChunks(SMALL_CHUNKS_BYTES);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, call + behind, PIECE_BYTES);
    }

    @Test
    void declaredBodiesOverLimit() throws Exception {
        String head = gateway().head("POST /order/1") + "Content-Length: 2000000000\r\n\r\n";
        String bytes = head + "x".repeat(BODY_BYTES * 5);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, PIECE_BYTES);
    }

    @Test
    void chunkedBodiesOverLimit() throws Exception {
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        String bytes = gateway().head("POST /order/1") + CHUNKED + chunk.repeat(40);
        assertHoldsAgainst(Setting.CALLER_ADDRESS, bytes, PIECE_BYTES);
    }

    @Test
    void chunkedBodiesOverLimitAtDirectoryPort() throws Exception {
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        String bytes = UNKNOWN + CHUNKED + chunk.repeat(40);
        assertHoldsAgainst(Setting.DIRECTORY_ADDRESS, bytes, PIECE_BYTES);
    }
}
