package org.heathercourse.gateway.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.time.TestTime;

/** Requests to a target on one connection without a network, and the bytes of its answers. */
final class TargetExchanges {
    private static final long MAX_BUFFER_BYTES = 20_000;

    /** Longer than the shortest idle time of a connection before its next request. */
    private static final long REUSE_DELAY_MILLIS = 30;

    private static final Target TARGET =
            new Target("t1", 1, "s", "127.0.0.1", 80, new Zone("z"), 1, false);

    private final TestTime mTime = new TestTime();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final MemoryBudget mMemory = new MemoryBudget(MAX_BUFFER_BYTES);
    private final TargetPool mPool =
            new TargetPool(
                    TARGET,
                    mChannel.eventLoop(),
                    mTime.ticker(),
                    new ShortHeaderFormat(),
                    new NoPoolEvents(),
                    mMemory,
                    target -> {});
    private final TargetConnection mConnection =
            new TargetConnection(mPool, new ShortHeaderFormat(), mMemory);
    private ResponseRecorder mRecorder = new ResponseRecorder();

    TargetExchanges() {
        TargetPool.addHandlers(mChannel.pipeline(), mConnection);
    }

    void send(String requestId) {
        send(HttpMethod.POST, requestId);
    }

    void send(HttpMethod method, String requestId) {
        mRecorder = new ResponseRecorder();
        mConnection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"),
                requestId,
                mRecorder);
    }

    /** Receives bytes, which are lost if the connection is closed. */
    void receive(String text) {
        if (!mChannel.isOpen()) {
            return;
        }
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Returns status and body of the answer to the last request, or how it failed. */
    String answer() {
        if (mRecorder.failure() != null) {
            return mRecorder.failure().name();
        }
        return mRecorder.ended() ? mRecorder.head().status() + " " + mRecorder.body() : "none";
    }

    /** Returns whether the connection waits for another request. */
    boolean isIdle() {
        return mayCarry("another request");
    }

    /** Returns whether a request may be sent on the connection. */
    boolean mayCarry(String requestId) {
        mTime.advanceMillis(REUSE_DELAY_MILLIS);
        TargetConnection idle = mPool.pollIdle(requestId);
        if (idle != null) {
            idle.releaseUnused();
        }
        return idle != null;
    }
}
