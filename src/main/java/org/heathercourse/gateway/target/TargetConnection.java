package org.heathercourse.gateway.target;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.heathercourse.platform.entry.AnswerFacts;
import org.heathercourse.platform.entry.CallFormat;

/**
 * A connection to a target that carries one request at a time.
 *
 * <p>Targets may send answers that belong to earlier requests, and bytes that belong to none. An
 * answer that names another request is skipped. A connection on which anything comes while no
 * request waits is closed. Confined to the traffic loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d+)");
    private static final long MILLIS_PER_SECOND = 1_000;

    private final TargetPool mPool;
    private final CallFormat mFormat;
    private ChannelHandlerContext mContext;
    private ChannelFuture mSent;
    private ResponseListener mAnswer;
    private String mRequestId;
    private boolean mSkipping;
    private boolean mHeadPassed;
    private boolean mInformational;
    private boolean mReusable;
    private boolean mClosed;
    private long mIdleSinceMillis;
    private long mKeepMillis = TargetPool.DEFAULT_KEEP_MILLIS;

    TargetConnection(TargetPool pool, CallFormat format) {
        mPool = pool;
        mFormat = format;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    // Use by the pool

    boolean open() {
        return !mClosed && mContext.channel().isActive();
    }

    long idleMillis(long nowMillis) {
        return nowMillis - mIdleSinceMillis;
    }

    /** Returns for how long the target keeps the connection when idle, in milliseconds. */
    long keepMillis() {
        return mKeepMillis;
    }

    /**
     * Sends a request.
     *
     * @param request the request; released by this call
     * @param requestId identity that the answer must name
     * @param answer receives the answer
     */
    void send(FullHttpRequest request, String requestId, ResponseListener answer) {
        mAnswer = answer;
        mRequestId = requestId;
        mHeadPassed = false;
        mSkipping = false;
        mReusable = false;
        mSent = mContext.writeAndFlush(request);
    }

    /** Ends the exchange without an answer; the target stops its work when it sees the close. */
    void cancel() {
        mAnswer = null;
        close();
    }

    /** Stops or resumes reading, so that a slow caller slows its target down. */
    void setAutoRead(boolean enabled) {
        if (open()) {
            mContext.channel().config().setAutoRead(enabled);
        }
    }

    void close() {
        if (!mClosed) {
            mClosed = true;
            mContext.close();
            mPool.closed(this);
        }
    }

    // Answers

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mAnswer == null) {
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content && mAnswer != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("the answer is no HTTP");
            return;
        }
        mInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mInformational) {
            return;
        }
        int status = response.status().code();
        AnswerFacts facts = mFormat.readAnswer(status, response.headers());
        mSkipping = !answersThis(response, facts);
        if (mSkipping) {
            mPool.skipped();
            return;
        }
        mReusable = HttpUtil.isKeepAlive(response);
        readKeepAlive(response.headers().get("Keep-Alive"));
        mHeadPassed = true;
        mAnswer.onHead(status, response.status().reasonPhrase(), response.headers(), facts);
    }

    /** A success must name the request; a refusal may leave the name out. */
    private boolean answersThis(HttpResponse response, AnswerFacts facts) {
        if (facts.requestId() == null) {
            return response.status().codeClass() != HttpStatusClass.SUCCESS;
        }
        return facts.requestId().equals(mRequestId);
    }

    private void readKeepAlive(String header) {
        if (header != null) {
            Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(header);
            if (timeout.find()) {
                mKeepMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND;
            }
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the body of the answer is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mInformational || mSkipping) {
            if (last) {
                mInformational = false;
                mSkipping = false;
            }
            return;
        }
        if (!mHeadPassed) {
            fail("a body came without a head");
            return;
        }
        if (content.content().isReadable()) {
            mAnswer.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (last && mAnswer != null) {
            end();
        }
    }

    private void end() {
        ResponseListener answer = mAnswer;
        mAnswer = null;
        // A target may answer before it has read the request, and then reads the rest of it.
        if (mReusable && mSent.isSuccess() && !mClosed) {
            mContext.channel().config().setAutoRead(true);
            mIdleSinceMillis = mPool.nowMillis();
            mPool.idle(this);
        } else {
            close();
        }
        answer.onEnd();
    }

    private void fail(String reason) {
        ResponseListener answer = mAnswer;
        mAnswer = null;
        close();
        if (answer != null) {
            answer.onFailure(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the target closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("the connection broke: " + cause.getMessage());
    }
}
