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

/** Ports on which the gateway itself answers short questions. */
public final class EndpointServer {
    private static final int MAX_QUESTION_BYTES = 16 * 1024;
    private static final long IDLE_SECONDS = 15;

    private EndpointServer() {}

    /**
     * An answer. The array must not be changed.
     *
     * @param status HTTP status
     * @param contentType type of the body
     * @param body body; may be empty
     */
    public record Response(int status, String contentType, byte[] body) {
        /** Returns an answer without a body. */
        public static Response empty(int status) {
            return new Response(status, "text/plain", new byte[0]);
        }

        /** Returns an answer in JSON. */
        public static Response json(byte[] body) {
            return new Response(200, "application/json", body);
        }
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on
     * @param group threads that carry the connections
     * @param answer answers a request target
     * @return the port
     */
    public static ServerPort open(
            InetSocketAddress address, EventLoopGroup group, Function<String, Response> answer) {
        Handler handler = new Handler(answer);
        return ServerPort.open(
                address,
                group,
                channel ->
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_QUESTION_BYTES))
                                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS, TimeUnit.SECONDS))
                                .addLast(handler));
    }

    @ChannelHandler.Sharable
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> mAnswer;

        Handler(Function<String, Response> answer) {
            mAnswer = answer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response answer = mAnswer.apply(request.uri());
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            boolean keep = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keep);
            var written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
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
