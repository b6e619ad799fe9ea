package org.heathercourse.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Queue;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.gateway.call.Call;
import org.heathercourse.gateway.call.CallRequest;
import org.heathercourse.gateway.call.ErrorResponse;
import org.heathercourse.gateway.call.ResponseWriter;

/**
 * A connection of a caller: reads one request after the other and writes their answers in order.
 *
 * <p>A request is read whole before it is acted on. While one runs, the connection is still read,
 * because only so is it seen that the caller has left; requests that come early wait. Confined to
 * the traffic loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {
    /** Most messages that may wait behind a running request. */
    private static final int MAX_WAITING = 64;

    private final CallerServer mServer;
    private final CallerLimits mLimits;
    private final Queue<Object> mWaiting = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private ByteArrayOutputStream mBody;
    private boolean mRefusedBody;
    private Call mCall;
    private boolean mKeepAlive;
    private boolean mChunked;
    private boolean mHeadRequest;

    CallerConnection(CallerServer server, CallerLimits limits) {
        mServer = server;
        mLimits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mServer.opened(this);
    }

    // Requests

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mCall == null && mWaiting.isEmpty()) {
            take(message);
        } else if (mWaiting.size() < MAX_WAITING) {
            mWaiting.add(message);
        } else {
            ReferenceCountUtil.release(message);
            context.close();
        }
    }

    private void take(Object message) {
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
        mServer.headRead(this);
        mHead = head;
        mBody = new ByteArrayOutputStream(0);
        mRefusedBody = false;
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mHeadRequest = head.method().name().equals("HEAD");
        mChunked = head.protocolVersion().isKeepAliveDefault();
        if (head.decoderResult().isFailure()) {
            malformed(head.decoderResult().cause());
        } else if (ambiguousLength(head)) {
            refuseAndClose(
                    ErrorResponse.of(
                            ErrorKind.BAD_REQUEST,
                            "the request states its length in two ways",
                            "send either a length or chunks"));
        } else if (HttpUtil.getContentLength(head, 0L) > mLimits.maxBodyBytes()) {
            tooLarge();
        } else if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Such a request may hide another one. */
    private static boolean ambiguousLength(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    }

    private void malformed(Throwable cause) {
        ErrorKind kind =
                cause instanceof TooLongHttpHeaderException
                        ? ErrorKind.HEADERS_TOO_LARGE
                        : ErrorKind.BAD_REQUEST;
        refuseAndClose(
                ErrorResponse.of(
                        kind,
                        "the request is malformed: " + cause.getMessage(),
                        "send a request in the form of HTTP/1.1"));
    }

    private void tooLarge() {
        refuseAndClose(
                ErrorResponse.of(
                        ErrorKind.PAYLOAD_TOO_LARGE,
                        "the body is longer than " + mLimits.maxBodyBytes() + " bytes",
                        "send a shorter body"));
    }

    private void refuseAndClose(ErrorResponse refusal) {
        mRefusedBody = true;
        mKeepAlive = false;
        refusal.writeTo(this);
    }

    private void onContent(HttpContent content) {
        if (mHead == null || mRefusedBody) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            malformed(content.decoderResult().cause());
            return;
        }
        ByteBuf bytes = content.content();
        if (mBody.size() + bytes.readableBytes() > mLimits.maxBodyBytes()) {
            tooLarge();
            return;
        }
        byte[] part = new byte[bytes.readableBytes()];
        bytes.readBytes(part);
        mBody.writeBytes(part);
        if (content instanceof LastHttpContent) {
            run();
        }
    }

    private void run() {
        CallRequest request =
                new CallRequest(
                        mHead.method().name(), mHead.uri(), mHead.headers(), mBody.toByteArray());
        mHead = null;
        mBody = null;
        mCall = new Call(mServer.callDependencies(), request, this, this::callEnded);
        mServer.callStarted();
        mCall.start();
    }

    private void callEnded() {
        mCall = null;
        mServer.callEnded(this);
        while (mCall == null && !mWaiting.isEmpty()) {
            take(mWaiting.remove());
        }
    }

    /** Returns whether a request is being read or answered. */
    boolean busy() {
        return mCall != null || mHead != null;
    }

    void close() {
        mContext.close();
    }

    HeadTimer headTimer(String name) {
        return (HeadTimer) mContext.pipeline().get(name);
    }

    // Answers

    @Override
    public void begin(int status, String reason, HttpHeaders headers, long lengthBytes) {
        HttpResponseStatus line =
                reason.isEmpty()
                        ? HttpResponseStatus.valueOf(status)
                        : new HttpResponseStatus(status, reason);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, line);
        response.headers().set(headers);
        boolean keep = mKeepAlive && !mServer.leaving();
        if (lengthBytes != UNKNOWN_LENGTH) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        } else if (mChunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keep = false;
        }
        mKeepAlive = keep;
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mContext.write(response);
    }

    @Override
    public void write(byte[] bytes) {
        if (bytes.length > 0 && !mHeadRequest) {
            mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    @Override
    public void end() {
        var written = mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!mKeepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void abort() {
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
            mCall.writabilityChanged();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && mCall == null) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mWaiting.forEach(ReferenceCountUtil::release);
        mWaiting.clear();
        mServer.closed(this);
        if (mCall != null) {
            mCall.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
