package org.heathercourse.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.gateway.call.CallDependencies;

/**
 * The port for callers.
 *
 * <p>Life cycle: {@link #open}, {@link #leave}, {@link #close}. State belongs to the traffic loop.
 */
public final class CallerServer {
    private static final String HEAD_TIMER = "head-timer";
    private static final int MAX_LINE_BYTES = 8 * 1024;

    private final CallDependencies mCallDependencies;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private final CompletableFuture<Void> mQuiet = new CompletableFuture<>();
    private ServerPort mPort;
    private int mRunning;
    private boolean mLeaving;
    private boolean mClosing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param callDependencies what calls use
     */
    public CallerServer(CallDependencies callDependencies) {
        mCallDependencies = callDependencies;
    }

    /**
     * Starts to listen.
     *
     * @param address address for callers
     * @param traffic the traffic loop
     * @return the port
     */
    public int open(InetSocketAddress address, EventLoopGroup traffic) {
        mPort = ServerPort.open(address, traffic, this::initialize);
        return mPort.port();
    }

    private void initialize(Channel channel) {
        CallerLimits limits =
                mCallDependencies
                        .clusterView()
                        .routing()
                        .map(RoutingTable::limits)
                        .orElse(CallerLimits.DEFAULTS);
        HttpDecoderConfig decoder =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(limits.maxHeaderBytes());
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(HEAD_TIMER, new HeadTimer(limits.headerTimeoutMillis()));
        pipeline.addLast(new HttpServerCodec(decoder));
        pipeline.addLast(
                new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
        pipeline.addLast(new CallerConnection(this, limits));
    }

    CallDependencies callDependencies() {
        return mCallDependencies;
    }

    // Connections and calls

    void opened(CallerConnection connection) {
        mConnections.add(connection);
    }

    void closed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    void headRead(CallerConnection connection) {
        connection.headTimer(HEAD_TIMER).headRead();
    }

    void callStarted() {
        mRunning++;
    }

    void callEnded(CallerConnection connection) {
        mRunning--;
        connection.headTimer(HEAD_TIMER).requestEnded();
        checkQuiet();
    }

    // Stop

    boolean leaving() {
        return mLeaving;
    }

    /** Returns the calls that run now; to be read on the traffic loop. */
    public int activeCallCount() {
        return mRunning;
    }

    /** Ends each connection with its next answer; requests that still come are served. */
    public void leave() {
        mLeaving = true;
    }

    /**
     * Stops listening and closes the connections that carry no request.
     *
     * @return completed when no call runs any more
     */
    public CompletableFuture<Void> close() {
        mClosing = true;
        mPort.close();
        for (CallerConnection connection : Set.copyOf(mConnections)) {
            if (!connection.busy()) {
                connection.close();
            }
        }
        checkQuiet();
        return mQuiet;
    }

    private void checkQuiet() {
        if (mClosing && mRunning == 0) {
            mQuiet.complete(null);
        }
    }
}
