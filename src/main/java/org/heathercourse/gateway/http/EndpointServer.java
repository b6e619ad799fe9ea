package org.heathercourse.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.heathercourse.core.limits.MemoryBudget;

/** Opens HTTP ports for the gateway's own endpoints: readiness, directory and metrics. */
public final class EndpointServer {
    /** Maximum size in bytes of a request line, and of the headers. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final long IDLE_TIMEOUT_SECONDS = 15;

    /** Maximum time in milliseconds from the first byte of a request to its end. */
    private static final long REQUEST_TIMEOUT_MILLIS = 3_000;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 1024;
    private static final int MAX_READ_BYTES = 4 * 1024;

    /** Unsent bytes of responses from which on no further request of a connection is answered. */
    private static final WriteBufferWaterMark UNSENT_BYTES = new WriteBufferWaterMark(1, 2);

    private EndpointServer() {}

    /**
     * Bounds of what the connections of a port keep. Immutable.
     *
     * @param maxConnections maximum number of open connections
     * @param memory budget of the process; confined to the event loop
     * @param closed records the connections that a limit closes
     */
    public record Limits(int maxConnections, MemoryBudget memory, ClosedConnections closed) {}

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
     * @param limits bounds what the connections keep
     * @param responder maps the request target to the response; called on an event loop
     * @return the port
     */
    public static ServerPort open(
            InetSocketAddress address,
            EventLoopGroup group,
            Limits limits,
            Function<String, Response> responder) {
        OpenConnections<EndpointConnection> connections =
                new OpenConnections<>(limits.maxConnections(), limits.closed());
        return ServerPort.open(
                address, group, channel -> initialize(channel, limits, responder, connections));
    }

    private static void initialize(
            Channel channel,
            Limits limits,
            Function<String, Response> responder,
            OpenConnections<EndpointConnection> connections) {
        HttpDecoderConfig decoder =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES);
        EndpointConnection connection = new EndpointConnection(responder, connections);
        UnfinishedHeadHandler input =
                new UnfinishedHeadHandler(
                        () -> REQUEST_TIMEOUT_MILLIS, limits.memory(), connection, limits.closed());
        connection.setInput(input);
        channel.config().setWriteBufferWaterMark(UNSENT_BYTES);
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
        channel.pipeline()
                .addLast(input)
                .addLast(new HttpServerCodec(decoder))
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .addLast(connection);
    }
}
