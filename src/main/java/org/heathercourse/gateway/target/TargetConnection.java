package org.heathercourse.gateway.target;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.gateway.codec.ResponseDecoder;
import org.heathercourse.gateway.codec.ResponseHeadCheck;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.AnswerFacts;
import org.heathercourse.platform.entry.CallFormat;

/**
 * A connection to a target that carries one request at a time.
 *
 * <p>Targets may send responses to earlier requests, and bytes that belong to no response. A
 * response with the id of another request is skipped. Data that arrives while no request is
 * outstanding closes the connection. Confined to the traffic loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,9})");
    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Maximum number of responses that are skipped before the one to the current request. A target
     * in trouble may send them without end.
     */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    /** Maximum size in bytes of the bodies of skipped responses. */
    private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

    /** Maximum number of requests on a connection before it closes, as their ids are kept. */
    private static final int MAX_REQUESTS = 256;

    private static final EventLog LOG = EventLog.of(TargetConnection.class);

    private final TargetPool mPool;
    private final CallFormat mFormat;
    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private final long mOpenedMillis;

    /**
     * Hashes of the request ids, which callers choose and may be long. Two ids with the same hash
     * only keep the second from this connection.
     */
    private final Set<Integer> mCarriedIdHashes = new HashSet<>();

    private final MemoryBudget.Reservation mHeadMemory;
    private ChannelHandlerContext mContext;
    private ChannelFuture mWriteFuture;
    private ResponseListener mListener;
    private int mCarriedRequests;
    private boolean mIsFirstRequest;
    private String mRequestId;
    private HttpMethod mRequestMethod;
    private boolean mSkippingResponse;
    private boolean mHeadDelivered;
    private int mUnfinishedHeadBytes;
    private boolean mSkippingInformational;
    private int mInformationalResponses;
    private int mSkippedResponses;
    private long mSkippedBytes;
    private BodyFraming mFraming = BodyFraming.NO_BODY;
    private boolean mReusable;
    private boolean mInputEnded;
    private boolean mClosed;
    private long mIdleSinceMillis;
    private long mKeepAliveMillis = TargetPool.DEFAULT_KEEP_ALIVE_MILLIS;

    /**
     * Creates a connection that is not open yet.
     *
     * @param pool pool of the connection
     * @param format parses the platform's response headers
     * @param memory budget of the process
     */
    TargetConnection(TargetPool pool, CallFormat format, MemoryBudget memory) {
        mPool = pool;
        mFormat = format;
        mHeadMemory = memory.reserveHead();
        mOpenedMillis = pool.nowMillis();
        mIdleSinceMillis = mOpenedMillis;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    // Use by the pool

    /** Returns the decoder of this connection's pipeline. */
    ResponseDecoder decoder() {
        return mDecoder;
    }

    boolean isOpen() {
        return !mClosed && mContext.channel().isActive();
    }

    long idleMillis(long nowMillis) {
        return nowMillis - mIdleSinceMillis;
    }

    /**
     * Returns whether a request with this id was sent here before. Its response may arrive once
     * more, and would then be taken for the response to the request that is sent again.
     */
    boolean hasCarried(String requestId) {
        return mCarriedIdHashes.contains(requestId.hashCode());
    }

    /** Returns the time after which the target closes the connection if idle, in milliseconds. */
    long keepAliveMillis() {
        return mKeepAliveMillis;
    }

    /**
     * Sends a request.
     *
     * @param request the request; released by this call
     * @param requestId request id that the response must carry
     * @param listener receives the response
     */
    void send(FullHttpRequest request, String requestId, ResponseListener listener) {
        mListener = listener;
        mIsFirstRequest = mCarriedRequests == 0;
        mCarriedRequests++;
        mCarriedIdHashes.add(requestId.hashCode());
        mRequestId = requestId;
        mRequestMethod = request.method();
        mDecoder.setRequestMethod(mRequestMethod);
        mHeadDelivered = false;
        mSkippingResponse = false;
        mInformationalResponses = 0;
        mSkippedResponses = 0;
        mSkippedBytes = 0;
        mUnfinishedHeadBytes = 0;
        mReusable = false;
        mWriteFuture = mContext.writeAndFlush(request);
    }

    /** Returns what the connection has carried until now. */
    ConnectionUse use() {
        long nowMillis = mPool.nowMillis();
        return new ConnectionUse(
                id(), mCarriedRequests, nowMillis - mOpenedMillis, idleMillis(nowMillis));
    }

    /** Returns the number of responses that were skipped before the one to the request. */
    int skippedResponses() {
        return mSkippedResponses;
    }

    private String id() {
        return mContext.channel().id().asShortText();
    }

    /** Makes a connection that has carried no request available to others. */
    void releaseUnused() {
        mIdleSinceMillis = mPool.nowMillis();
        mPool.onIdle(this);
    }

    /** Closes the connection without a result, upon which the target cancels the request. */
    void cancel() {
        mListener = null;
        close();
    }

    /**
     * Pauses or resumes reading, which applies the back-pressure of a slow caller to the target.
     */
    void setAutoRead(boolean enabled) {
        if (isOpen()) {
            mContext.channel().config().setAutoRead(enabled);
        }
    }

    void close() {
        if (!mClosed) {
            mClosed = true;
            mHeadMemory.release();
            mContext.close();
            mPool.onClosed(this);
        }
    }

    // Responses

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mListener == null) {
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content && mListener != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Called when bytes of the target were read, before they are decoded. Closes the connection if
     * no response is expected: the decoder would keep an unfinished head without a sign, and read
     * the next response as the rest of it.
     *
     * @param bytes number of bytes
     * @return whether they are to be decoded
     */
    boolean acceptsBytes(int bytes) {
        if (mListener == null && !mClosed) {
            reportUnexpectedBytes(bytes);
            close();
        }
        return mListener != null;
    }

    private void reportUnexpectedBytes(int bytes) {
        mPool.onUnexpectedBytes();
        LOG.info(
                "unexpected_bytes",
                "target",
                mPool.target().id(),
                "connection",
                id(),
                "carriedRequests",
                mCarriedRequests,
                "lastId",
                mRequestId,
                "idleMillis",
                idleMillis(mPool.nowMillis()),
                "bytes",
                bytes);
    }

    /**
     * Called when bytes of the target were read, after what they complete was handled. They are
     * kept if they belong to a head that is not finished.
     *
     * @param bytes number of bytes
     */
    void onBytesRead(int bytes) {
        boolean isAwaitingHead =
                mListener != null
                        && !mHeadDelivered
                        && !mSkippingInformational
                        && !mSkippingResponse;
        if (!isAwaitingHead) {
            return;
        }
        mUnfinishedHeadBytes += bytes;
        if (!mHeadMemory.resize(mUnfinishedHeadBytes)) {
            fail("there is no memory left for the rest of the response head");
        }
    }

    private void onHead(HttpResponse response) {
        mUnfinishedHeadBytes = 0;
        mHeadMemory.release();
        if (response.decoderResult().isFailure()) {
            failInHead(response.decoderResult().cause());
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("the target switches to another protocol");
            return;
        }
        mSkippingInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mSkippingInformational) {
            mInformationalResponses++;
            checkSkippedResponses();
            return;
        }
        int status = response.status().code();
        AnswerFacts facts = mFormat.readAnswer(status, response.headers());
        if (facts.ambiguous() || ResponseHeadCheck.isMixed(response)) {
            fail("the response head contains the start of another one");
            return;
        }
        // It holds whichever request the response belongs to, unless another target sent it.
        if (facts.leaving() && !facts.wrongTarget()) {
            mPool.onLeaving();
        }
        mSkippingResponse = belongsToOtherRequest(response, facts);
        if (mSkippingResponse) {
            skipResponse(response, facts);
            return;
        }
        if (facts.requestId() == null && !mIsFirstRequest) {
            fail("an error response without a request id may belong to an earlier request");
            return;
        }
        mFraming = BodyFraming.of(mRequestMethod, response);
        // A copy of a response to HEAD has a length and no body, which other requests cannot know.
        mReusable =
                mFraming.keepsConnection()
                        && HttpUtil.isKeepAlive(response)
                        && mSkippedResponses == 0
                        && !HttpMethod.HEAD.equals(mRequestMethod)
                        && mCarriedRequests < MAX_REQUESTS;
        parseKeepAlive(response.headers().get("Keep-Alive"));
        mHeadDelivered = true;
        mListener.onHead(
                new ResponseHead(
                        status,
                        response.status().reasonPhrase(),
                        response.headers(),
                        facts,
                        mFraming));
    }

    /**
     * Skips a response to another request, if its end can be found. What follows on the connection
     * is uncertain from then on, so that it carries no further request.
     */
    private void skipResponse(HttpResponse response, AnswerFacts facts) {
        mSkippedResponses++;
        mPool.onResponseSkipped();
        logSkippedResponse(response.status().code(), facts);
        checkSkippedResponses();
        if (mListener == null) {
            return;
        }
        if (HttpMethod.HEAD.equals(mRequestMethod)) {
            fail("it is unknown whether a response to another request has a body");
        } else if (!BodyFraming.of(mRequestMethod, response).keepsConnection()) {
            fail("a response to another request ends with the connection");
        }
    }

    private void logSkippedResponse(int status, AnswerFacts facts) {
        LOG.info(
                "response_skipped",
                "id",
                mRequestId,
                "responseId",
                facts.requestId(),
                "status",
                status,
                "target",
                mPool.target().id(),
                "connection",
                id(),
                "carriedRequests",
                mCarriedRequests);
    }

    /** The codec reports a head that ends with its connection like one that is no valid HTTP. */
    private void failInHead(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            fail(ResponseFailure.CONNECTION_LOST, "the connection ended in a response head");
        } else {
            fail("the response is not valid HTTP");
        }
    }

    private void checkSkippedResponses() {
        int skipped = mInformationalResponses + mSkippedResponses;
        if (skipped > MAX_SKIPPED_RESPONSES) {
            fail("the target sent " + skipped + " responses that do not answer the request");
        }
    }

    private void countSkippedBytes(int bytes) {
        mSkippedBytes += bytes;
        if (mSkippedBytes > MAX_SKIPPED_BYTES) {
            fail("the target sent " + mSkippedBytes + " bytes of responses to other requests");
        }
    }

    /**
     * Returns whether the response belongs to another request. A success response must carry the id
     * of its request; an error response may omit it.
     */
    private boolean belongsToOtherRequest(HttpResponse response, AnswerFacts facts) {
        if (facts.requestId() == null) {
            return response.status().codeClass() == HttpStatusClass.SUCCESS;
        }
        return !facts.requestId().equals(mRequestId);
    }

    private void parseKeepAlive(String header) {
        if (header != null) {
            Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(header);
            if (timeout.find()) {
                mKeepAliveMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND;
            }
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the response body is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mSkippingInformational || mSkippingResponse) {
            countSkippedBytes(content.content().readableBytes());
            if (last) {
                mSkippingInformational = false;
                mSkippingResponse = false;
            }
            return;
        }
        if (!mHeadDelivered) {
            fail("the response has a body but no head");
            return;
        }
        if (content.content().isReadable()) {
            mListener.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (last && mListener != null) {
            if (mFraming.keepsConnection() || mInputEnded) {
                completeResponse();
            } else {
                fail(
                        ResponseFailure.CONNECTION_LOST,
                        "the connection was lost within a response that ends with it");
            }
        }
    }

    private void completeResponse() {
        ResponseListener listener = mListener;
        mListener = null;
        mIdleSinceMillis = mPool.nowMillis();
        int unreadBytes = mDecoder.unreadBytes();
        if (unreadBytes > 0) {
            reportUnexpectedBytes(unreadBytes);
        }
        // A target may respond before the request was written completely and then still expects the
        // rest of it; such a connection is not reused.
        if (mReusable && mWriteFuture.isSuccess() && unreadBytes == 0 && !mClosed) {
            mContext.channel().config().setAutoRead(true);
            mPool.onIdle(this);
        } else {
            close();
        }
        listener.onEnd();
    }

    private void fail(String reason) {
        fail(ResponseFailure.INVALID_RESPONSE, reason);
    }

    private void fail(ResponseFailure failure, String reason) {
        ResponseListener listener = mListener;
        mListener = null;
        close();
        if (listener != null) {
            listener.onFailure(failure, reason);
        }
    }

    /**
     * Called when the target has ended its output in order. The codec then ends a response that
     * ends with its connection; it does so too if the connection is lost or closed here.
     */
    void onInputEnded() {
        mInputEnded = true;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail(ResponseFailure.CONNECTION_LOST, "the target closed the connection");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(ResponseFailure.CONNECTION_LOST, "the target closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof Error) {
            LOG.error("target_connection_failed", cause);
        }
        fail(
                cause instanceof IOException
                        ? ResponseFailure.CONNECTION_LOST
                        : ResponseFailure.INVALID_RESPONSE,
                "the connection to the target failed: " + cause.getMessage());
    }
}
