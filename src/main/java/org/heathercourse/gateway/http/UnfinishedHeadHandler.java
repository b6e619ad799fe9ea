package org.heathercourse.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.heathercourse.core.limits.MemoryBudget;

/**
 * Closes a connection if the head of a request does not arrive in time, or if there is no memory
 * for more of it, so that slow senders hold neither connections nor the heap. Precedes the decoder
 * in the pipeline; {@link CallerConnection} reports heads and ends of requests. Confined to the
 * traffic loop.
 */
final class UnfinishedHeadHandler extends ChannelInboundHandlerAdapter {
    private final LongSupplier mTimeoutMillis;
    private final MemoryBudget.Reservation mMemory;
    private ScheduledFuture<?> mTimeout;
    private boolean mAwaitingFirstByte = true;
    private boolean mAwaitingHead = true;
    private int mHeadBytes;

    /**
     * Creates a handler.
     *
     * @param timeoutMillis returns the maximum time in milliseconds from the first byte of a head
     *     to its end; asked for each head, as the configuration may change
     * @param budget budget of the process
     */
    UnfinishedHeadHandler(LongSupplier timeoutMillis, MemoryBudget budget) {
        mTimeoutMillis = timeoutMillis;
        mMemory = budget.reserveHead();
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
        mHeadBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        context.fireChannelRead(message);
        if (mAwaitingHead && !mMemory.resize(mHeadBytes)) {
            context.close();
        }
    }

    /**
     * Ends the timeout of the current head. The bytes that follow belong to the body, or wait
     * behind the call; they start no timeout until {@link #onRequestEnded}.
     */
    void onHeadRead() {
        mAwaitingFirstByte = false;
        mAwaitingHead = false;
        mMemory.release();
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
        mAwaitingHead = true;
        mHeadBytes = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onHeadRead();
        context.fireChannelInactive();
    }
}
