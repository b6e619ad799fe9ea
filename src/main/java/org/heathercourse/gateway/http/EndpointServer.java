package org.heathercourse.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Opens HTTP ports for the gateway's own endpoints: readiness, directory and metrics. */
public final class EndpointServer {
    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final long IDLE_TIMEOUT_SECONDS = 15;

    private EndpointServer() {}

    /**
     * An HTTP response. The body array must not be modified.
     *
     * @param status HTTP status
     * @param contentType media type of the body
     * @param body body; may be empty
     */
    public record Response(int status, String contentType, byte[] body) {
        /** Returns a response without a body. */
        public static Response empty(int status) {
            return new Response(status, "text/plain", new byte[0]);
        }

        /** Returns a response with status 200 and a JSON body. */
        public static Response json(byte[] body) {
            return new Response(200, "application/json", body);
        }
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on
     * @param group event loops of the connections
     * @param responder maps the request target to the response; called on an event loop
     * @return the port
     */
    public static ServerPort open(
            InetSocketAddress address, EventLoopGroup group, Function<String, Response> responder) {
        Handler handler = new Handler(responder);
        return ServerPort.open(
                address,
                group,
                channel ->
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(
                                        new IdleStateHandler(
                                                0, 0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                                .addLast(handler));
    }

    @ChannelHandler.Sharable
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> mResponder;

        Handler(Function<String, Response> responder) {
            mResponder = responder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response content = mResponder.apply(request.uri());
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(content.status()),
                            Unpooled.wrappedBuffer(content.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, content.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            var writeFuture = context.writeAndFlush(response);
            if (!keepAlive) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
