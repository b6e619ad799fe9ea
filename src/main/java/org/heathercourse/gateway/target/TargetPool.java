package org.heathercourse.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetLoad;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.gateway.codec.RequestEncoder;
import org.heathercourse.platform.entry.CallFormat;

/** Connection pool for one incarnation of a target. Confined to the traffic loop. */
public final class TargetPool {
    /** Idle timeout of a target in milliseconds if it sends no Keep-Alive header. */
    static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    /**
     * Minimum idle time of a connection in milliseconds before its next request. Stray bytes after
     * a response arrive within it and close the connection.
     */
    private static final long MIN_IDLE_MILLIS = 5;

    /**
     * Fraction of the target's idle timeout up to which a connection is reused, so that no request
     * is sent just as the target closes the connection.
     */
    private static final double MAX_IDLE_FRACTION = 0.6;

    /**
     * Delay in milliseconds before a check whether the target's process still runs. The end of a
     * process closes its connections and its port one after the other.
     */
    private static final long PROCESS_CHECK_DELAY_MILLIS = 10;

    /**
     * Maximum size in bytes of one read. What was read is handled to its end even if the caller is
     * slow, so that it bounds what is kept for one beyond the caller's own limit. A connection is
     * read once in a turn of the loop, so that it also bounds how long the small events of one
     * target delay other callers.
     */
    private static final int MAX_READ_BYTES = 4 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final Target mTarget;
    private final TargetLoad mLoad = new TargetLoad();
    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final CallFormat mFormat;
    private final PoolEvents mEvents;
    private final MemoryBudget mMemory;
    private final Consumer<Target> mOnLeaving;
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private final List<Consumer<ProcessState>> mProcessCheckListeners = new ArrayList<>();
    private int mConnectionCount;
    private int mOpenCount;
    private boolean mRetired;

    /** Listener for events of the pool, used for metrics. */
    public interface PoolEvents {
        /** Called when a connection was opened. */
        void onConnect();

        /** Called when a connection could not be opened. */
        void onConnectFailed();

        /** Called when a response to another request was skipped. */
        void onResponseSkipped();

        /** Called when bytes arrived on a connection that awaits no response. */
        void onUnexpectedBytes();
    }

    /** Receives the result of {@link TargetPool#acquire}. */
    public interface AcquireListener {
        /** Called with a connection, which must be used or closed immediately. */
        void onConnection(Exchange exchange);

        /**
         * Called if no connection is available.
         *
         * @param cause why there is none
         * @param detail description of the cause
         */
        void onUnavailable(Unavailability cause, String detail);
    }

    /** Why no connection to a target is available. */
    public enum Unavailability {
        /** This gateway uses its part of the target's connections; the target may be healthy. */
        ALL_IN_USE(false, false),
        /** The connection could not be opened in time. */
        CONNECT_FAILED(true, false),
        /** The target refused the connection, which suggests that its process has ended. */
        REFUSED(true, true);

        private final boolean mTargetFailure;
        private final boolean mTargetGone;

        Unavailability(boolean targetFailure, boolean targetGone) {
            mTargetFailure = targetFailure;
            mTargetGone = targetGone;
        }

        /** Returns whether the target is at fault and should not be preferred for a while. */
        public boolean isTargetFailure() {
            return mTargetFailure;
        }

        /** Returns whether the target has probably ended. */
        public boolean isTargetGone() {
            return mTargetGone;
        }

        static Unavailability of(Throwable connectError) {
            boolean refused =
                    connectError instanceof ConnectException
                            && !(connectError instanceof ConnectTimeoutException);
            return refused ? REFUSED : CONNECT_FAILED;
        }
    }

    /**
     * Creates an empty pool.
     *
     * @param target the target
     * @param loop event loop of the connections
     * @param ticker monotonic clock
     * @param format parses the platform's response headers
     * @param events listener for events of the pool
     * @param memory budget for the heads of responses
     * @param onLeaving called with each response in which the target says that it leaves
     */
    TargetPool(
            Target target,
            EventLoop loop,
            Ticker ticker,
            CallFormat format,
            PoolEvents events,
            MemoryBudget memory,
            Consumer<Target> onLeaving) {
        mTarget = target;
        mLoop = loop;
        mTicker = ticker;
        mFormat = format;
        mEvents = events;
        mMemory = memory;
        mOnLeaving = onLeaving;
    }

    /** Returns the target. */
    public Target target() {
        return mTarget;
    }

    /** Returns the load and failure statistics of the target. */
    public TargetLoad load() {
        return mLoad;
    }

    long nowMillis() {
        return mTicker.readMillis();
    }

    /**
     * Acquires an idle connection or opens a new one.
     *
     * @param requestId identity of the request; it gets no connection on which it was sent before
     * @param maxConnections maximum number of connections of this gateway to the target
     * @param listener receives the connection
     */
    public void acquire(String requestId, int maxConnections, AcquireListener listener) {
        TargetConnection idle = pollIdle(requestId);
        if (idle != null) {
            listener.onConnection(new Exchange(idle));
        } else if (mConnectionCount >= maxConnections && !closeIdleThatCarried(requestId)) {
            listener.onUnavailable(
                    Unavailability.ALL_IN_USE, "all connections to the target are in use");
        } else {
            connect(listener);
        }
    }

    /** Takes an idle connection that may carry a request; returns null if there is none. */
    TargetConnection pollIdle(String requestId) {
        long now = nowMillis();
        Iterator<TargetConnection> newestFirst = mIdle.descendingIterator();
        TargetConnection found = null;
        while (newestFirst.hasNext()) {
            TargetConnection connection = newestFirst.next();
            long idleMillis = connection.idleMillis(now);
            boolean isExpired = idleMillis > connection.keepAliveMillis() * MAX_IDLE_FRACTION;
            if (isExpired || !connection.isOpen()) {
                newestFirst.remove();
                connection.close();
            } else if (found == null
                    && idleMillis >= MIN_IDLE_MILLIS
                    && !connection.hasCarried(requestId)) {
                newestFirst.remove();
                found = connection;
            }
        }
        return found;
    }

    /** Closes an idle connection that may not carry a request, to make place for another one. */
    private boolean closeIdleThatCarried(String requestId) {
        for (TargetConnection connection : mIdle) {
            if (connection.hasCarried(requestId)) {
                connection.close();
                return true;
            }
        }
        return false;
    }

    private void connect(AcquireListener listener) {
        mConnectionCount++;
        TargetConnection connection = new TargetConnection(this, mFormat, mMemory);
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                addHandlers(channel.pipeline(), connection);
                            }
                        })
                .connect(mTarget.host(), mTarget.port())
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                mOpenCount++;
                                mEvents.onConnect();
                                listener.onConnection(new Exchange(connection));
                            } else {
                                mConnectionCount--;
                                mEvents.onConnectFailed();
                                listener.onUnavailable(
                                        Unavailability.of(done.cause()),
                                        "cannot connect to the target: "
                                                + done.cause().getMessage());
                            }
                        });
    }

    static void addHandlers(ChannelPipeline pipeline, TargetConnection connection) {
        pipeline.addLast(new InputObserver(connection))
                .addLast(connection.decoder())
                .addLast(new RequestEncoder())
                .addLast(connection);
    }

    /**
     * Checks after the end of a connection whether the target's process still runs, by a new
     * connection. One check serves all listeners that wait at the same time.
     *
     * @param listener receives the result, on the traffic loop
     */
    public void checkProcess(Consumer<ProcessState> listener) {
        mProcessCheckListeners.add(listener);
        if (mProcessCheckListeners.size() == 1) {
            mLoop.schedule(
                    () -> connect(new ProcessCheck()),
                    PROCESS_CHECK_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Receives the connection that shows whether the target's process still runs. */
    private final class ProcessCheck implements AcquireListener {
        @Override
        public void onConnection(Exchange exchange) {
            exchange.releaseUnused();
            complete(ProcessState.RUNNING);
        }

        @Override
        public void onUnavailable(Unavailability cause, String detail) {
            if (!cause.isTargetGone()) {
                complete(ProcessState.NO_REPLY);
            } else {
                complete(mOpenCount == 0 ? ProcessState.ENDED : ProcessState.REFUSING);
            }
        }

        private void complete(ProcessState state) {
            List<Consumer<ProcessState>> listeners = List.copyOf(mProcessCheckListeners);
            mProcessCheckListeners.clear();
            listeners.forEach(listener -> listener.accept(state));
        }
    }

    void onIdle(TargetConnection connection) {
        if (mRetired) {
            connection.close();
        } else {
            mIdle.addLast(connection);
        }
    }

    void onClosed(TargetConnection connection) {
        mConnectionCount--;
        mOpenCount--;
        mIdle.remove(connection);
    }

    void onResponseSkipped() {
        mEvents.onResponseSkipped();
    }

    void onUnexpectedBytes() {
        mEvents.onUnexpectedBytes();
    }

    /** Called when the target said in a response that it leaves. */
    void onLeaving() {
        mOnLeaving.accept(mTarget);
        retire();
    }

    /** Closes idle connections now and those in use after their responses. */
    void retire() {
        mRetired = true;
        new ArrayDeque<>(mIdle).forEach(TargetConnection::close);
    }
}
