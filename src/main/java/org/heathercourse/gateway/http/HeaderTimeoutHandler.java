package org.heathercourse.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes a connection if the head of a request does not arrive in time, so that slow senders do not
 * hold connections. Precedes the decoder in the pipeline; {@link CallerConnection} reports heads
 * and ends of requests. Confined to the traffic loop.
 */
final class HeaderTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final LongSupplier mTimeoutMillis;
    private ScheduledFuture<?> mTimeout;
    private boolean mAwaitingFirstByte = true;

    /**
     * Creates a handler.
     *
     * @param timeoutMillis returns the maximum time in milliseconds from the first byte of a head
     *     to its end; asked for each head, as the configuration may change
     */
    HeaderTimeoutHandler(LongSupplier timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mAwaitingFirstByte) {
            mAwaitingFirstByte = false;
            mTimeout =
                    context.executor()
                            .schedule(
                                    () -> context.close(),
                                    mTimeoutMillis.getAsLong(),
                                    TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    /**
     * Cancels the timeout of the current head. The bytes that follow belong to the body, or wait
     * behind the call; they start no timeout until {@link #onRequestEnded}.
     */
    void onHeadRead() {
        mAwaitingFirstByte = false;
        if (mTimeout != null) {
            mTimeout.cancel(false);
            mTimeout = null;
        }
    }

    /**
     * Called when a response has ended; the next byte starts a new timeout, unless the head of the
     * next request was read before and is reported first.
     */
    void onRequestEnded() {
        mAwaitingFirstByte = true;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onHeadRead();
        context.fireChannelInactive();
    }
}
