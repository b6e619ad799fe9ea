package org.heathercourse.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.gateway.http.ClosedConnections.Cause;

/**
 * Bounds what a connection keeps before its requests are complete: closes it if the head of a
 * request does not arrive in time, or if there is no memory for what the decoder keeps, and holds
 * back the bytes of further requests undecoded. Precedes the decoder in the pipeline, which gets
 * the bytes in slices: one ends with a head, or with a body of declared length, so that the decoder
 * keeps nothing of the next request. The consumer of the messages reports messages, heads and ends
 * of requests. Confined to the traffic loop.
 */
final class UnfinishedHeadHandler extends ChannelInboundHandlerAdapter {
    /**
     * Memory in bytes that a header field needs besides its text: the entry, the objects of its
     * name and value, the name's text as a string, and the entry in the request to the target.
     */
    static final int FIELD_BYTES = 256;

    /** Factor by which kept text needs more memory than its bytes, as buffers grow by doubling. */
    static final int TEXT_FACTOR = 2;

    /** Maximum size of a slice in bytes, which bounds what is decoded before it is charged. */
    private static final int SLICE_BYTES = 1024;

    /** Bytes held back from which on no more are read. */
    private static final int MAX_HELD_BYTES = 16 * 1024;

    /** Unused bytes of a buffer from which on its content is copied before it is passed on. */
    private static final int MAX_UNUSED_BYTES = 4 * 1024;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /** First digit of the size of the last chunk. */
    private static final byte LAST_CHUNK_SIZE = '0';

    /** Consumer of the decoded messages. */
    interface Consumer {
        /** Returns whether it takes the bytes of a request now. */
        boolean isReady();

        /** Returns whether it takes no more bytes at all, so that they are discarded. */
        boolean isEnded();
    }

    private final LongSupplier mTimeoutMillis;
    private final Consumer mConsumer;
    private final ClosedConnections mClosed;

    /** For what the decoder keeps while more bytes of the same read follow. */
    private final MemoryBudget.Reservation mReadMemory;

    /** For an unfinished head or trailers that the decoder keeps until the caller sends more. */
    private final MemoryBudget.Reservation mWaitMemory;

    /** The same for the line of a chunk, which is not refused for the heads of others. */
    private final MemoryBudget.Reservation mBodyWaitMemory;

    private final MemoryBudget.Reservation mHeldMemory;
    private ChannelHandlerContext mContext;
    private ScheduledFuture<?> mTimeout;
    private ByteBuf mHeld;
    private boolean mPassing;
    private boolean mAwaitingFirstByte = true;
    private int mLineBytes;
    private int mUndecodedBytes;
    private int mUndecodedLines;

    /** Bytes of a body of declared length that were not passed on yet. */
    private long mBodyBytesLeft;

    private boolean mInChunkedBody;
    private boolean mInTrailers;
    private byte mFirstOfLine;

    /**
     * Creates a handler.
     *
     * @param timeoutMillis returns the maximum time in milliseconds from the first byte of a head
     *     to its end; asked for each head, as the configuration may change
     * @param budget budget of the process
     * @param consumer consumer of the decoded messages
     * @param closed records the connections that this handler closes
     */
    UnfinishedHeadHandler(
            LongSupplier timeoutMillis,
            MemoryBudget budget,
            Consumer consumer,
            ClosedConnections closed) {
        mTimeoutMillis = timeoutMillis;
        mConsumer = consumer;
        mClosed = closed;
        mReadMemory = budget.reserveNothing();
        mWaitMemory = budget.reserveHead();
        mBodyWaitMemory = budget.reserveNothing();
        mHeldMemory = budget.reserveNothing();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            hold(bytes);
            resume();
        } else {
            context.fireChannelRead(message);
        }
    }

    private void hold(ByteBuf bytes) {
        if (mHeld == null) {
            mHeld = bytes;
            return;
        }
        int length = bytes.readableBytes();
        if (mHeld.maxWritableBytes() < length || mHeld.readerIndex() > 0) {
            ByteBuf larger = mContext.alloc().heapBuffer(mHeld.readableBytes() + length);
            larger.writeBytes(mHeld);
            mHeld.release();
            mHeld = larger;
        }
        mHeld.writeBytes(bytes);
        bytes.release();
    }

    /** Passes held bytes on as far as the consumer takes them. */
    void resume() {
        if (mPassing) {
            return;
        }
        mPassing = true;
        try {
            mWaitMemory.release();
            mBodyWaitMemory.release();
            while (mHeld != null && mContext.channel().isOpen()) {
                if (mConsumer.isEnded()) {
                    discardHeld();
                } else if (!mConsumer.isReady() || !passSlice()) {
                    break;
                }
            }
        } finally {
            mPassing = false;
        }
        chargeKept();
    }

    /** Passes one slice on; returns false if there is no memory for what the decoder keeps. */
    private boolean passSlice() {
        if (mAwaitingFirstByte) {
            mAwaitingFirstByte = false;
            mTimeout =
                    mContext.executor()
                            .schedule(
                                    () -> close(Cause.TIMEOUT),
                                    mTimeoutMillis.getAsLong(),
                                    TimeUnit.MILLISECONDS);
        }
        if (mBodyBytesLeft > 0) {
            passDeclaredBody();
            return true;
        }
        ByteBuf slice = takeSlice(countSliceBytes());
        mUndecodedBytes += slice.readableBytes();
        mContext.fireChannelRead(slice);
        if (mReadMemory.resize(undecodedCost())) {
            return true;
        }
        close(Cause.MEMORY);
        return false;
    }

    /** Passes on what is there of a body of declared length, which the decoder passes on itself. */
    private void passDeclaredBody() {
        int length = (int) Math.min(mHeld.readableBytes(), mBodyBytesLeft);
        mBodyBytesLeft -= length;
        mContext.fireChannelRead(takeSlice(length));
    }

    /**
     * Returns the size of the next slice. It ends behind an empty line, as each head and each
     * chunked body does, and within a chunked body behind a line that may be the size of the last
     * chunk, so that the decoder delivers no message in the middle of the trailers.
     */
    private int countSliceBytes() {
        int start = mHeld.readerIndex();
        int end = start + Math.min(mHeld.readableBytes(), SLICE_BYTES);
        int lineStart = start;
        for (int at = mHeld.indexOf(start, end, LINE_FEED); at >= 0; ) {
            mUndecodedLines++;
            int length = mLineBytes + at - lineStart;
            boolean isEmpty =
                    length == 0
                            || length == 1
                                    && (at == lineStart
                                            || mHeld.getByte(at - 1) == CARRIAGE_RETURN);
            boolean isLastChunk = mInChunkedBody && firstOfLine(lineStart) == LAST_CHUNK_SIZE;
            mLineBytes = 0;
            lineStart = at + 1;
            mInTrailers |= isLastChunk;
            if (isEmpty || isLastChunk) {
                return lineStart - start;
            }
            at = mHeld.indexOf(lineStart, end, LINE_FEED);
        }
        if (end > lineStart) {
            mFirstOfLine = firstOfLine(lineStart);
            mLineBytes += end - lineStart;
        }
        return end - start;
    }

    /** Returns the first byte of a line that may have begun in an earlier slice. */
    private byte firstOfLine(int lineStart) {
        return mLineBytes > 0 ? mFirstOfLine : mHeld.getByte(lineStart);
    }

    private ByteBuf takeSlice(int length) {
        boolean isWhole = length == mHeld.readableBytes();
        if (isWhole && mHeld.capacity() - length <= MAX_UNUSED_BYTES) {
            ByteBuf whole = mHeld;
            mHeld = null;
            return whole;
        }
        ByteBuf slice = mContext.alloc().heapBuffer(length);
        slice.writeBytes(mHeld, length);
        if (isWhole) {
            discardHeld();
        }
        return slice;
    }

    private long undecodedCost() {
        return (long) TEXT_FACTOR * mUndecodedBytes + (long) FIELD_BYTES * mUndecodedLines;
    }

    /** Charges what is kept until the caller sends more, and reads on if it is not too much. */
    private void chargeKept() {
        mReadMemory.release();
        if (!mContext.channel().isOpen()) {
            releaseAll();
            return;
        }
        int heldBytes = mHeld == null ? 0 : mHeld.readableBytes();
        boolean hasRoom = mHeldMemory.resize(mHeld == null ? 0 : mHeld.capacity());
        boolean awaitsChunk = mInChunkedBody && !mInTrailers;
        MemoryBudget.Reservation waitMemory = awaitsChunk ? mBodyWaitMemory : mWaitMemory;
        if (!hasRoom || !waitMemory.resize(undecodedCost())) {
            close(Cause.MEMORY);
            return;
        }
        mContext.channel().config().setAutoRead(heldBytes < MAX_HELD_BYTES);
    }

    private void close(Cause cause) {
        mClosed.record(cause);
        mContext.close();
    }

    /**
     * Called when the decoder has delivered a message, so that it keeps nothing more of it.
     *
     * @param message the message
     */
    void onMessage(HttpObject message) {
        mUndecodedBytes = 0;
        mUndecodedLines = 0;
        mInTrailers = false;
        if (message instanceof HttpRequest head && message.decoderResult().isSuccess()) {
            mInChunkedBody = HttpUtil.isTransferEncodingChunked(head);
            mBodyBytesLeft = mInChunkedBody ? 0 : HttpUtil.getContentLength(head, 0L);
        }
        if (message instanceof LastHttpContent) {
            mInChunkedBody = false;
            mBodyBytesLeft = 0;
        }
    }

    /**
     * Returns whether the end of a request's head has been read and waits behind a running call. A
     * request that follows in the bytes that are being passed on does not count.
     */
    boolean hasHeldHead() {
        if (mHeld == null || mPassing) {
            return false;
        }
        int end = mHeld.writerIndex();
        int at = mHeld.indexOf(mHeld.readerIndex(), end, LINE_FEED);
        while (at >= 0 && at + 1 < end) {
            int next = mHeld.getByte(at + 1) == CARRIAGE_RETURN ? at + 2 : at + 1;
            if (next < end && mHeld.getByte(next) == LINE_FEED) {
                return true;
            }
            at = mHeld.indexOf(at + 1, end, LINE_FEED);
        }
        return false;
    }

    /**
     * Ends the timeout of the current head. The bytes that follow belong to the body, or wait
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

    private void discardHeld() {
        if (mHeld != null) {
            mHeld.release();
            mHeld = null;
        }
    }

    private void releaseAll() {
        discardHeld();
        mReadMemory.release();
        mWaitMemory.release();
        mBodyWaitMemory.release();
        mHeldMemory.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onHeadRead();
        releaseAll();
        context.fireChannelInactive();
    }
}
