package org.heathercourse.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.gateway.call.CallDependencies;

/**
 * HTTP server for callers.
 *
 * <p>Life cycle: {@link #open}, {@link #leave}, {@link #close}. All methods but {@link #open} are
 * confined to the traffic loop.
 */
public final class CallerServer {
    /** Maximum size of a read in bytes, as it may have to wait behind a running call. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final String IDLE_TIMEOUT_HANDLER = "idle-timer";

    /**
     * Size in bytes of a request line, and of the headers, at which a decoder stops reading. The
     * limits of the configuration may change while a connection is open and those of its decoder
     * cannot, so that the former are checked when a head was read.
     */
    private static final int MIN_DECODER_LIMIT_BYTES = 64 * 1024;

    /**
     * Bytes that wait for a slow caller. Reading from its target pauses above the higher value and
     * goes on below the lower one.
     */
    private static final WriteBufferWaterMark UNSENT_BYTES =
            new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    private final CallDependencies mCallDependencies;
    private final OpenConnections<CallerConnection> mConnections;
    private final ClosedConnections mClosed;
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private ServerPort mPort;
    private int mActiveCalls;
    private boolean mLeaving;
    private boolean mClosing;

    /**
     * Creates a server that does not listen yet and accepts any number of connections.
     *
     * @param callDependencies collaborators of calls
     */
    CallerServer(CallDependencies callDependencies) {
        this(
                callDependencies,
                ConnectionLimits.NONE.callers(),
                new ClosedConnections(callDependencies.ticker()));
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param callDependencies collaborators of calls
     * @param maxConnections maximum number of open connections
     * @param closed records the connections that a limit closes
     */
    public CallerServer(
            CallDependencies callDependencies, int maxConnections, ClosedConnections closed) {
        mCallDependencies = callDependencies;
        mClosed = closed;
        mConnections = new OpenConnections<>(maxConnections, closed);
    }

    /**
     * Starts to listen.
     *
     * @param address address for callers
     * @param traffic the traffic loop
     * @return the port number
     */
    public int open(InetSocketAddress address, EventLoopGroup traffic) {
        mPort = ServerPort.open(address, traffic, this::initialize);
        return mPort.port();
    }

    /** Sets up the pipeline of a caller's connection. */
    void initialize(Channel channel) {
        CallerLimits limits = limits();
        int decoderLimitBytes = Math.max(MIN_DECODER_LIMIT_BYTES, limits.maxHeaderBytes());
        HttpDecoderConfig decoder =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(decoderLimitBytes)
                        .setMaxHeaderSize(decoderLimitBytes);
        channel.config().setWriteBufferWaterMark(UNSENT_BYTES);
        ChannelPipeline pipeline = channel.pipeline();
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
        CallerConnection connection = new CallerConnection(this, limits);
        UnfinishedHeadHandler input =
                new UnfinishedHeadHandler(
                        () -> limits().headerTimeoutMillis(),
                        mCallDependencies.memory(),
                        connection,
                        mClosed);
        connection.setInput(input);
        pipeline.addLast(input);
        pipeline.addLast(new HttpServerCodec(decoder));
        pipeline.addLast(IDLE_TIMEOUT_HANDLER, idleTimeoutHandler(limits));
        pipeline.addLast(connection);
    }

    private static IdleStateHandler idleTimeoutHandler(CallerLimits limits) {
        return new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    /** Restarts the idle timeout of a connection with the value that is in force now. */
    void restartIdleTimeout(ChannelPipeline pipeline) {
        pipeline.replace(IDLE_TIMEOUT_HANDLER, IDLE_TIMEOUT_HANDLER, idleTimeoutHandler(limits()));
    }

    /** Returns the limits of the configuration that is in force now. */
    CallerLimits limits() {
        return mCallDependencies
                .clusterView()
                .routing()
                .map(RoutingTable::limits)
                .orElse(CallerLimits.DEFAULTS);
    }

    CallDependencies callDependencies() {
        return mCallDependencies;
    }

    // Connections and calls

    void onOpened(CallerConnection connection) {
        mConnections.add(connection);
    }

    void onClosed(CallerConnection connection) {
        mConnections.remove(connection);
        completeIfDrained();
    }

    void onCallStarted() {
        mActiveCalls++;
    }

    void onCallEnded(CallerConnection connection) {
        mActiveCalls--;
        mConnections.onRequestEnded(connection);
    }

    /** Closes the connection if the server is stopping and the connection is not busy. */
    void closeIfStopping(CallerConnection connection) {
        if (mClosing && !connection.isBusy()) {
            connection.close();
        }
        completeIfDrained();
    }

    // Stop

    boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the number of active calls; must be called on the traffic loop. */
    public int activeCallCount() {
        return mActiveCalls;
    }

    /**
     * Returns whether a request is being read, a call is active, a response is being written or a
     * connection waits for its caller to receive one; must be called on the traffic loop.
     */
    public boolean isBusy() {
        return mConnections.stream().anyMatch(CallerConnection::isBusy);
    }

    /** Closes each connection after the response to the last request that was read from it. */
    public void leave() {
        mLeaving = true;
    }

    /**
     * Stops listening and closes the connections without a request.
     *
     * @return completes when no call is active, all responses are written, and their connections
     *     are closed or have lingered
     */
    public CompletableFuture<Void> close() {
        mClosing = true;
        if (mPort != null) {
            mPort.close();
        }
        for (CallerConnection connection : mConnections.copy()) {
            if (!connection.isBusy()) {
                connection.close();
            }
        }
        completeIfDrained();
        return mDrained;
    }

    /** Ends the active calls because the process exits; returns their number. */
    public int endCallsForExit() {
        int calls = mActiveCalls;
        mConnections.copy().forEach(CallerConnection::endForExit);
        return calls;
    }

    private void completeIfDrained() {
        if (mClosing && !isBusy()) {
            mDrained.complete(null);
        }
    }
}
