package org.heathercourse.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.gateway.call.Call;
import org.heathercourse.gateway.call.CallErrors;
import org.heathercourse.gateway.call.CallRequest;
import org.heathercourse.gateway.call.ErrorResponse;
import org.heathercourse.gateway.call.ResponseWriter;
import org.heathercourse.log.EventLog;

/**
 * A connection of a caller: processes one request at a time and writes responses in order.
 *
 * <p>A call starts when its request was read completely. Reading continues while a call runs,
 * because only a read detects that the caller has disconnected; pipelined requests wait undecoded
 * in the {@link UnfinishedHeadHandler}, at most the next one here. Confined to the traffic loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements ResponseWriter, UnfinishedHeadHandler.Consumer, OpenConnections.Connection {
    /**
     * Maximum time in milliseconds between the last response and the close of the connection: a few
     * round trips, in which the caller receives the response and closes the connection itself.
     */
    private static final long LINGER_MILLIS = 1_000;

    /**
     * Maximum time in milliseconds between a refusal and the close of the connection. The caller
     * may still send the body, and read the refusal only after that; the body is discarded.
     */
    private static final long BODY_LINGER_MILLIS = 4_000;

    /**
     * Size in bytes from which gathered parts of a body are written. Each write has objects of
     * several hundred bytes, which many small events for a slow caller would multiply.
     */
    private static final int MAX_GATHERED_BYTES = 16 * 1024;

    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    private final CallerServer mServer;

    /** Limits for the request that is being read; those of an idle connection may be outdated. */
    private CallerLimits mLimits;

    private final Queue<Object> mPendingMessages = new ArrayDeque<>();
    private UnfinishedHeadHandler mInput;
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private final BodyBuffer mBody;

    /** For the head from its end to the end of its call, and for the next one behind it. */
    private final MemoryBudget.Reservation mHeadMemory;

    private final MemoryBudget.Reservation mPendingMemory;
    private long mPendingCost;
    private boolean mDiscardBody;
    private ByteArrayOutputStream mGathered = new ByteArrayOutputStream();
    private boolean mFlushScheduled;
    private Call mCall;
    private int mUnwrittenResponses;
    private boolean mKeepAlive;
    private boolean mLastResponseEnded;
    private boolean mLingering;

    /** Cancelled at the close, as it would keep the closed connection in memory until its time. */
    private ScheduledFuture<?> mLingerEnd;

    private boolean mSupportsChunked;
    private boolean mBodyEndsWithConnection;
    private boolean mIsHeadRequest;

    /**
     * Creates a connection.
     *
     * @param server server of the connection
     * @param limits limits that were in force when the connection was opened
     */
    CallerConnection(CallerServer server, CallerLimits limits) {
        mServer = server;
        mLimits = limits;
        MemoryBudget memory = server.callDependencies().memory();
        mBody = new BodyBuffer(memory);
        mHeadMemory = memory.reserveNothing();
        mPendingMemory = memory.reserveNothing();
    }

    /** Sets the handler that passes the bytes of this connection on. */
    void setInput(UnfinishedHeadHandler input) {
        mInput = input;
    }

    @Override
    public boolean isReady() {
        return mCall == null && mPendingMessages.isEmpty() && isWritable();
    }

    @Override
    public boolean isEnded() {
        return mLastResponseEnded;
    }

    @Override
    public boolean isReplaceable() {
        return isReceiving() && mHead == null;
    }

    @Override
    public boolean isReceiving() {
        return mCall == null && mPendingMessages.isEmpty() && mUnwrittenResponses == 0;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mServer.onOpened(this);
    }

    // Requests

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mInput.onMessage((HttpObject) message);
        if (mLastResponseEnded) {
            // The caller was told that the connection closes; what follows is not served.
            ReferenceCountUtil.release(message);
        } else if (mCall == null && mPendingMessages.isEmpty()) {
            process(message);
        } else {
            mPendingMessages.add(message);
            mPendingCost += cost(message);
            if (!mPendingMemory.resize(mPendingCost)) {
                context.close();
            }
        }
    }

    /** Returns the memory in bytes that a message needs while it waits or runs. */
    private static long cost(Object message) {
        if (message instanceof HttpRequest head) {
            long textBytes = head.uri().length();
            for (Map.Entry<CharSequence, CharSequence> field : fields(head)) {
                textBytes += field.getKey().length() + field.getValue().length();
                textBytes += UnfinishedHeadHandler.FIELD_BYTES / UnfinishedHeadHandler.TEXT_FACTOR;
            }
            return textBytes * UnfinishedHeadHandler.TEXT_FACTOR;
        }
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private static Iterable<Map.Entry<CharSequence, CharSequence>> fields(HttpRequest head) {
        return () -> head.headers().iteratorCharSequence();
    }

    private void discardPendingMessages() {
        mPendingMessages.forEach(ReferenceCountUtil::release);
        mPendingMessages.clear();
        mPendingCost = 0;
        mPendingMemory.release();
    }

    private void process(Object message) {
        try {
            if (message instanceof HttpRequest head) {
                onHead(head);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest head) {
        mInput.onHeadRead();
        updateLimits();
        mHead = head;
        mDiscardBody = false;
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mIsHeadRequest = head.method().name().equals("HEAD");
        mSupportsChunked = head.protocolVersion().isKeepAliveDefault();
        if (head.decoderResult().isFailure()) {
            rejectMalformed(head.decoderResult().cause());
        } else if (isTooLong(head)) {
            rejectTooLongHead();
        } else if (hasAmbiguousLength(head)) {
            rejectAndClose(
                    ErrorResponse.of(
                            ErrorKind.BAD_REQUEST,
                            "the request has several Content-Length headers, or Content-Length and"
                                    + " Transfer-Encoding",
                            "send one Content-Length header, or a chunked body without one"));
        } else if (HttpUtil.getContentLength(head, 0L) > mLimits.maxBodyBytes()) {
            rejectTooLarge();
        } else if (!mHeadMemory.resize(cost(head))
                || !mBody.reserve((int) HttpUtil.getContentLength(head, 0L))) {
            rejectAndClose(CallErrors.memoryExhausted(mServer.callDependencies().random()));
        } else if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Takes over limits that have changed since the last request. */
    private void updateLimits() {
        CallerLimits limits = mServer.limits();
        boolean changesIdleTimeout = limits.idleTimeoutMillis() != mLimits.idleTimeoutMillis();
        mLimits = limits;
        if (changesIdleTimeout) {
            mServer.restartIdleTimeout(mContext.pipeline());
        }
    }

    /** Returns whether the request line or the headers exceed the limit of the configuration. */
    private boolean isTooLong(HttpRequest head) {
        int maxBytes = mLimits.maxHeaderBytes();
        int headerBytes = 0;
        for (Map.Entry<CharSequence, CharSequence> header : fields(head)) {
            headerBytes += header.getKey().length() + header.getValue().length();
        }
        return head.uri().length() > maxBytes || headerBytes > maxBytes;
    }

    /**
     * Returns whether the headers give more than one body length, which would permit request
     * smuggling.
     */
    private static boolean hasAmbiguousLength(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            rejectTooLongHead();
            return;
        }
        rejectAndClose(
                ErrorResponse.of(
                        ErrorKind.BAD_REQUEST,
                        "the request is malformed: " + cause.getMessage(),
                        "send a valid HTTP/1.1 request"));
    }

    private void rejectTooLongHead() {
        rejectAndClose(
                ErrorResponse.of(
                        ErrorKind.HEADERS_TOO_LARGE,
                        "the request line or the headers exceed the maximum of "
                                + mLimits.maxHeaderBytes()
                                + " bytes",
                        "send a shorter path or shorter headers"));
    }

    private void rejectTooLarge() {
        rejectAndClose(
                ErrorResponse.of(
                        ErrorKind.PAYLOAD_TOO_LARGE,
                        "the body exceeds the maximum of " + mLimits.maxBodyBytes() + " bytes",
                        "send a shorter body"));
    }

    private void rejectAndClose(ErrorResponse error) {
        mHead = null;
        mBody.release();
        mHeadMemory.release();
        mDiscardBody = true;
        mKeepAlive = false;
        error.writeTo(this);
    }

    private void onContent(HttpContent content) {
        if (mHead == null || mDiscardBody) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            rejectMalformed(content.decoderResult().cause());
            return;
        }
        ByteBuf bytes = content.content();
        if (mBody.size() + bytes.readableBytes() > mLimits.maxBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (!mBody.append(bytes)) {
            rejectAndClose(CallErrors.memoryExhausted(mServer.callDependencies().random()));
            return;
        }
        if (content instanceof LastHttpContent) {
            startCall();
        }
    }

    private void startCall() {
        CallRequest request =
                new CallRequest(
                        mHead.method().name(), mHead.uri(), mHead.headers(), mBody.toByteArray());
        mHead = null;
        mCall = new Call(mServer.callDependencies(), request, this, this::onCallEnded);
        mServer.onCallStarted();
        mCall.start();
    }

    private void onCallEnded() {
        mCall = null;
        mBody.release();
        mHeadMemory.release();
        mServer.onCallEnded(this);
        mInput.onRequestEnded();
        while (mCall == null && !mLastResponseEnded && !mPendingMessages.isEmpty()) {
            process(mPendingMessages.remove());
        }
        if (mPendingMessages.isEmpty()) {
            discardPendingMessages();
        }
        mInput.resume();
        mServer.closeIfStopping(this);
    }

    /**
     * Returns whether a request is being read, a call is running, a response is being written or
     * the caller may still receive the last one; the latter ends after {@link #LINGER_MILLIS}, or
     * {@link #BODY_LINGER_MILLIS} if the request was refused.
     */
    boolean isBusy() {
        return mCall != null || mHead != null || mUnwrittenResponses > 0 || mLingering;
    }

    @Override
    public void close() {
        mContext.close();
    }

    /** Ends the running call, or refuses the request being read, because the process exits. */
    void endForExit() {
        if (mCall != null) {
            mCall.endForExit();
        } else if (mHead != null) {
            rejectAndClose(CallErrors.leaving());
        }
    }

    // Responses

    @Override
    public void begin(int status, String reason, HttpHeaders headers, long lengthBytes) {
        HttpResponseStatus responseStatus =
                reason.isEmpty()
                        ? HttpResponseStatus.valueOf(status)
                        : new HttpResponseStatus(status, reason);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, responseStatus);
        response.headers().set(headers);
        // A request that was read behind this one is answered; the response to the last one closes.
        boolean keepAlive = mKeepAlive && !(mServer.isLeaving() && !hasNextRequest());
        mBodyEndsWithConnection = lengthBytes == UNKNOWN_LENGTH && !mSupportsChunked;
        if (lengthBytes != UNKNOWN_LENGTH) {
            if (lengthBytes > 0 || !isLengthOfOtherBody(status)) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
            }
        } else if (!mBodyEndsWithConnection) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keepAlive = false;
        }
        mKeepAlive = keepAlive;
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mContext.write(response);
    }

    private boolean hasNextRequest() {
        return !mPendingMessages.isEmpty() || mInput.hasHeldHead();
    }

    /**
     * Returns whether a length in a response without a body would be that of another response's
     * body, which is not known here.
     */
    private boolean isLengthOfOtherBody(int status) {
        return mIsHeadRequest || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Gathers what arrives within one turn of the event loop, and writes it at the turn's end. */
    @Override
    public void write(byte[] bytes) {
        if (mIsHeadRequest) {
            return;
        }
        mGathered.writeBytes(bytes);
        if (mGathered.size() >= MAX_GATHERED_BYTES) {
            flushGathered();
        } else if (!mFlushScheduled) {
            mFlushScheduled = true;
            mContext.executor().execute(this::flushGathered);
        }
    }

    private void flushGathered() {
        mFlushScheduled = false;
        writeGathered();
        mContext.flush();
    }

    private void writeGathered() {
        if (mGathered.size() > 0) {
            byte[] bytes = mGathered.toByteArray();
            mGathered = new ByteArrayOutputStream();
            mContext.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    @Override
    public void end() {
        writeGathered();
        if (!mKeepAlive) {
            mLastResponseEnded = true;
            discardPendingMessages();
        }
        mUnwrittenResponses++;
        mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(done -> onResponseWritten());
    }

    private void onResponseWritten() {
        mUnwrittenResponses--;
        if (mLastResponseEnded && mUnwrittenResponses == 0) {
            closeAfterLastResponse();
        }
        mServer.closeIfStopping(this);
    }

    /**
     * Closes the connection in a way that lets the caller receive the last response: bytes that
     * reach a closed socket, or that it has not read, make the system reset the connection, and a
     * reset discards what the caller has not yet received. So only the output is shut down at
     * first, and input is discarded.
     */
    private void closeAfterLastResponse() {
        if (mContext.channel() instanceof DuplexChannel channel) {
            mLingering = true;
            channel.shutdownOutput();
            boolean awaitsBody = mDiscardBody && !mServer.isLeaving();
            long millis = awaitsBody ? BODY_LINGER_MILLIS : LINGER_MILLIS;
            mLingerEnd = mContext.executor().schedule(this::close, millis, TimeUnit.MILLISECONDS);
        } else {
            mContext.close();
        }
    }

    @Override
    public void abort() {
        flushGathered();
        // The close is reported later than the end of the call, which starts the next request.
        mLastResponseEnded = true;
        if (mBodyEndsWithConnection) {
            // Only a reset shows a caller of HTTP/1.0 that the body is incomplete.
            mContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mContext.close();
    }

    @Override
    public boolean isWritable() {
        return mContext.channel().isWritable();
    }

    // Events of the connection

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mCall != null) {
            mCall.onWritabilityChanged();
        }
        if (isWritable()) {
            mInput.resume();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && mCall == null) {
            onIdle();
        }
    }

    /** Closes the connection, unless a later configuration allows a longer idle time. */
    private void onIdle() {
        long idleMillis = mLimits.idleTimeoutMillis();
        updateLimits();
        if (mLimits.idleTimeoutMillis() <= idleMillis) {
            mContext.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        discardPendingMessages();
        mBody.release();
        mHeadMemory.release();
        if (mLingerEnd != null) {
            mLingerEnd.cancel(false);
        }
        mServer.onClosed(this);
        if (mCall != null) {
            mCall.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("caller_connection_failed", cause);
        }
        context.close();
    }
}
