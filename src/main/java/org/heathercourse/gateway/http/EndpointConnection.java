package org.heathercourse.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.function.Function;
import org.heathercourse.gateway.http.EndpointServer.Response;
import org.heathercourse.log.EventLog;

/**
 * A connection at one of the gateway's own endpoints. Bodies of requests are discarded as they
 * arrive. Confined to the traffic loop.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject>
        implements UnfinishedHeadHandler.Consumer, OpenConnections.Connection {
    private static final int MAX_BODY_BYTES = 16 * 1024;
    private static final EventLog LOG = EventLog.of(EndpointConnection.class);

    private final Function<String, Response> mResponder;
    private final OpenConnections<EndpointConnection> mConnections;
    private UnfinishedHeadHandler mInput;
    private ChannelHandlerContext mContext;
    private String mUri;
    private boolean mKeepAlive;
    private int mBodyBytes;
    private boolean mEnded;

    /**
     * Creates a connection.
     *
     * @param responder maps the request target to the response
     * @param connections open connections of the port
     */
    EndpointConnection(
            Function<String, Response> responder, OpenConnections<EndpointConnection> connections) {
        mResponder = responder;
        mConnections = connections;
    }

    /** Sets the handler that passes the bytes of this connection on. */
    void setInput(UnfinishedHeadHandler input) {
        mInput = input;
    }

    @Override
    public boolean isReady() {
        return mContext.channel().isWritable();
    }

    @Override
    public boolean isEnded() {
        return mEnded;
    }

    @Override
    public boolean isReplaceable() {
        return true;
    }

    @Override
    public boolean isReceiving() {
        return true;
    }

    @Override
    public void close() {
        mContext.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mConnections.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        mInput.onMessage(message);
        if (mEnded) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (message instanceof HttpRequest head) {
            onHead(head);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpRequest head) {
        mUri = head.uri();
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mBodyBytes = 0;
        if (HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onContent(HttpContent content) {
        mBodyBytes += content.content().readableBytes();
        if (mBodyBytes > MAX_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (content instanceof LastHttpContent) {
            String uri = mUri;
            mUri = null;
            mInput.onHeadRead();
            mInput.onRequestEnded();
            mConnections.onRequestEnded(this);
            respond(mResponder.apply(uri));
        }
    }

    private void reject(HttpResponseStatus status) {
        mKeepAlive = false;
        respond(Response.empty(status.code()));
    }

    private void respond(Response content) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(content.status()),
                        Unpooled.wrappedBuffer(content.body()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, content.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
        HttpUtil.setKeepAlive(response, mKeepAlive);
        mEnded = !mKeepAlive;
        ChannelFuture written = mContext.writeAndFlush(response);
        if (mEnded) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (isReady()) {
            mInput.resume();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mConnections.remove(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("endpoint_connection_failed", cause);
        }
        context.close();
    }
}
