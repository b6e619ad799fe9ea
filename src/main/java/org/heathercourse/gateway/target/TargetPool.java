package org.heathercourse.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetLoad;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.platform.entry.CallFormat;

/** The connections to one run of a target. Confined to the traffic loop. */
public final class TargetPool {
    /** Time in milliseconds for which a target keeps idle connections if it does not say. */
    static final long DEFAULT_KEEP_MILLIS = 4_000;

    /**
     * Shortest rest of a connection in milliseconds before its next request. Bytes that follow an
     * answer and belong to no request come within it.
     */
    private static final long REST_MILLIS = 5;

    /** Part of its idle time after which a connection is not used any more. */
    private static final double SAFE_PART = 0.6;

    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final Target mTarget;
    private final TargetLoad mLoad = new TargetLoad();
    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final CallFormat mFormat;
    private final PoolEvents mEvents;
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private int mConnections;
    private boolean mRetired;

    /** Counts what happens to connections. */
    public interface PoolEvents {
        /** A connection was opened. */
        void onConnect();

        /** A connection could not be opened. */
        void onConnectFailed();

        /** An answer that belonged to another request was skipped. */
        void onSkippedAnswer();
    }

    /** Receives a connection, or learns that there is none. */
    public interface AcquireListener {
        /** Called with a connection that is to be used at once. */
        void onConnection(Exchange exchange);

        /**
         * Called if there is no connection.
         *
         * @param reason what happened
         * @param refused whether the target refused the connection, so that it has likely ended
         */
        void onUnavailable(String reason, boolean refused);
    }

    TargetPool(Target target, EventLoop loop, Ticker ticker, CallFormat format, PoolEvents events) {
        mTarget = target;
        mLoop = loop;
        mTicker = ticker;
        mFormat = format;
        mEvents = events;
    }

    /** Returns the target. */
    public Target target() {
        return mTarget;
    }

    /** Returns what was seen of the target. */
    public TargetLoad load() {
        return mLoad;
    }

    long nowMillis() {
        return mTicker.readMillis();
    }

    /**
     * Finds an idle connection or opens one.
     *
     * @param maxConnections most connections of this gateway to the target
     * @param acquired receives it
     */
    public void acquire(int maxConnections, AcquireListener acquired) {
        TargetConnection idle = takeIdle();
        if (idle != null) {
            acquired.onConnection(new Exchange(idle));
        } else if (mConnections >= maxConnections) {
            acquired.onUnavailable("all connections to the target are in use", false);
        } else {
            connect(acquired);
        }
    }

    private TargetConnection takeIdle() {
        long now = nowMillis();
        Iterator<TargetConnection> newestFirst = mIdle.descendingIterator();
        TargetConnection found = null;
        while (newestFirst.hasNext()) {
            TargetConnection connection = newestFirst.next();
            long idleMillis = connection.idleMillis(now);
            boolean lapsed = idleMillis > connection.keepMillis() * SAFE_PART;
            if (lapsed || !connection.open()) {
                newestFirst.remove();
                connection.close();
            } else if (found == null && idleMillis >= REST_MILLIS) {
                newestFirst.remove();
                found = connection;
            }
        }
        return found;
    }

    private void connect(AcquireListener acquired) {
        mConnections++;
        TargetConnection connection = new TargetConnection(this, mFormat);
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(
                                                        MAX_LINE_BYTES,
                                                        MAX_HEADER_BYTES,
                                                        MAX_CHUNK_BYTES))
                                        .addLast(connection);
                            }
                        })
                .connect(mTarget.host(), mTarget.port())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                mEvents.onConnect();
                                acquired.onConnection(new Exchange(connection));
                            } else {
                                mConnections--;
                                mEvents.onConnectFailed();
                                boolean refused =
                                        done.cause() instanceof java.net.ConnectException
                                                && !(done.cause()
                                                        instanceof
                                                        io.netty.channel.ConnectTimeoutException);
                                acquired.onUnavailable(
                                        "no connection: " + done.cause().getMessage(), refused);
                            }
                        });
    }

    void idle(TargetConnection connection) {
        if (mRetired) {
            connection.close();
        } else {
            mIdle.addLast(connection);
        }
    }

    void closed(TargetConnection connection) {
        mConnections--;
        mIdle.remove(connection);
    }

    void skipped() {
        mEvents.onSkippedAnswer();
    }

    /** Closes idle connections; those in use close when their answers have ended. */
    void retire() {
        mRetired = true;
        new ArrayDeque<>(mIdle).forEach(TargetConnection::close);
    }
}
