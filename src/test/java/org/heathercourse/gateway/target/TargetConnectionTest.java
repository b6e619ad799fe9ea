package org.heathercourse.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against incomplete responses that are taken for complete ones, and responses to other
 * requests that are taken for the response to the current one.
 */
class TargetConnectionTest {
    private static final long MAX_BUFFER_BYTES = 20_000;
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n";
    private static final Target TARGET =
            new Target("t1", 1, "s", "127.0.0.1", 80, new Zone("z"), 1, false);

    private final TestTime mTime = new TestTime();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<Target> mLeaving = new ArrayList<>();
    private final MemoryBudget mMemory = new MemoryBudget(MAX_BUFFER_BYTES);
    private final TargetPool mPool =
            new TargetPool(
                    TARGET,
                    mChannel.eventLoop(),
                    mTime.ticker(),
                    new ShortHeaderFormat(),
                    new NoPoolEvents(),
                    mMemory,
                    mLeaving::add);
    private final TargetConnection mConnection =
            new TargetConnection(mPool, new ShortHeaderFormat(), mMemory);
    private final ResponseRecorder mRecorder = new ResponseRecorder();

    private void send(String requestId) {
        if (mChannel.pipeline().get(InputObserver.class) == null) {
            TargetPool.addHandlers(mChannel.pipeline(), mConnection);
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        mConnection.send(request, requestId, mRecorder);
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void endInput() {
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    @Test
    void unframedResponseEndsWithOutputOfTarget() {
        send("r1");
        receive(UNFRAMED + "abc");
        assertThat(mRecorder.head().framing()).isEqualTo(BodyFraming.CONNECTION_END);
        assertThat(mRecorder.ended()).isFalse();
        endInput();
        assertThat(mRecorder.ended()).isTrue();
        assertThat(mRecorder.body()).isEqualTo("abc");
        assertThat(mRecorder.failure()).isNull();
    }

    /** Such a connection has ended; it must not be given to the next request. */
    @Test
    void connectionOfUnframedResponseIsNotReused() {
        send("r1");
        receive(UNFRAMED + "abc");
        endInput();
        assertThat(mConnection.isOpen()).isFalse();
    }

    @Test
    void unframedResponseIsIncompleteIfThisProcessClosesConnection() {
        send("r1");
        receive(UNFRAMED + "abc");
        mChannel.close();
        assertThat(mRecorder.ended()).isFalse();
        assertThat(mRecorder.failure()).isEqualTo(ResponseFailure.CONNECTION_LOST);
    }

    @Test
    void unframedResponseIsIncompleteIfConnectionIsReset() {
        send("r1");
        receive(UNFRAMED + "abc");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertThat(mRecorder.ended()).isFalse();
        assertThat(mRecorder.failure()).isEqualTo(ResponseFailure.CONNECTION_LOST);
        assertThat(mConnection.isOpen()).isFalse();
    }

    @Test
    void framedResponsesAreIncompleteIfInputEndsBeforeTheirEnd() {
        for (String framing : new String[] {"Content-Length: 5", "Transfer-Encoding: chunked"}) {
            TargetConnectionTest test = new TargetConnectionTest();
            test.send("r1");
            test.receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + framing + "\r\n\r\n");
            test.receive("3\r\n\r");
            test.endInput();
            assertThat(test.mRecorder.ended()).as(framing).isFalse();
            assertThat(test.mRecorder.failure())
                    .as(framing)
                    .isEqualTo(ResponseFailure.CONNECTION_LOST);
        }
    }

    /** Guards against heads without end of many connections, each within its limit. */
    @Test
    void unfinishedHeadsAreBoundedByMemory() {
        send("r1");
        receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Long: ");
        String part = "h".repeat(4_000);
        receive(part);
        assertThat(mMemory.usedBytes()).isGreaterThan(part.length());
        receive(part);
        assertThat(mRecorder.failure()).isNull();
        receive(part);
        assertThat(mRecorder.failure()).isEqualTo(ResponseFailure.INVALID_RESPONSE);
        assertThat(mMemory.usedBytes()).isZero();
    }

    @Test
    void memoryOfHeadIsReleasedAtItsEnd() {
        send("r1");
        receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n");
        assertThat(mMemory.usedBytes()).isPositive();
        receive("\r\no");
        assertThat(mMemory.usedBytes()).isZero();
        receive("k");
        assertThat(mRecorder.ended()).isTrue();
    }

    @Test
    void idleConnectionClosesWithOutputOfTarget() {
        send("r1");
        receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok");
        assertThat(mRecorder.ended()).isTrue();
        assertThat(mConnection.isOpen()).isTrue();
        endInput();
        assertThat(mConnection.isOpen()).isFalse();
    }

    // Ends within a head

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Extra: value\r\n";

    /** How the connection ends. */
    private enum ConnectionEnd {
        IN_ORDER {
            @Override
            void apply(TargetConnectionTest test) {
                test.endInput();
            }
        },
        RESET {
            @Override
            void apply(TargetConnectionTest test) {
                test.mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
                test.mChannel.close();
            }
        },
        CLOSED_HERE {
            @Override
            void apply(TargetConnectionTest test) {
                test.mChannel.close();
            }
        };

        abstract void apply(TargetConnectionTest test);
    }

    private static void assertIncompleteIfCut(String response, ConnectionEnd end) {
        for (int length = 0; length < response.length(); length++) {
            TargetConnectionTest test = new TargetConnectionTest();
            test.send("r1");
            test.receive(response.substring(0, length));
            end.apply(test);
            String cut = end + " after " + length + " bytes of " + response;
            assertThat(test.mRecorder.ended()).as(cut).isFalse();
            assertThat(test.mRecorder.failure()).as(cut).isEqualTo(ResponseFailure.CONNECTION_LOST);
        }
    }

    /**
     * Guards against a head that ends with its connection and is taken for a whole response without
     * a body, at each byte and in each framing; with chunks also in the size of the first one.
     */
    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void responseCutInItsHeadIsIncomplete(ConnectionEnd end) {
        assertIncompleteIfCut(HEAD + "Content-Length: 12\r\n\r\n", end);
        assertIncompleteIfCut(HEAD + "Content-Length: 0\r\n\r\n", end);
        assertIncompleteIfCut(HEAD + "\r\n", end);
        assertIncompleteIfCut(HEAD + "Transfer-Encoding: chunked\r\n\r\n1f;x=y\r\n", end);
        assertIncompleteIfCut(
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT: t\r\n\r\n", end);
        assertIncompleteIfCut("HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "\r\n", end);
        assertIncompleteIfCut(
                "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nX-Extra: value\r\n\r\n", end);
    }

    // Targets that say that they leave

    /** Guards against requests to a target that has said that it leaves, on idle connections. */
    @Test
    void connectionToTargetThatSaysItLeavesIsNotReused() {
        send("r1");
        receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(mRecorder.ended()).isTrue();
        assertThat(mLeaving).containsExactly(TARGET);
        assertThat(mConnection.isOpen()).isFalse();
    }

    /** Its word counts on any response, also to another request, but not from another target. */
    @Test
    void skippedResponseTellsThatTargetLeaves() {
        send("r2");
        receive("HTTP/1.1 421 No\r\nRequest-Id: r1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(mLeaving).isEmpty();
        receive("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(mLeaving).containsExactly(TARGET);
        assertThat(mRecorder.head()).isNull();
    }
}
