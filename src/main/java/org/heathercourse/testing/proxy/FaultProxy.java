package org.heathercourse.testing.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;

/**
 * A TCP proxy on one loopback port that injects faults. All proxies of a process share its event
 * loops. Changed faults apply to bytes that arrive after the change. Open from construction until
 * {@link #close()}. Thread-safe, but must not be changed or closed from an event loop, as both
 * block.
 */
public final class FaultProxy implements AutoCloseable {
    private static final long MAX_DELAYED_BYTES = 1 << 20;

    private final EventLoopGroup mLoops;
    private final int mTargetPort;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final AtomicReference<ProxyFaults> mFaults = new AtomicReference<>(ProxyFaults.NONE);
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final LongAdder mBytesToTarget = new LongAdder();
    private final LongAdder mBytesToClient = new LongAdder();
    private final Channel mListener;

    /**
     * Opens a proxy.
     *
     * @param loops event loops that carry the connections
     * @param listenPort port to listen on; 0 for any free port
     * @param targetPort loopback port to connect to
     * @param ticker time source for delays
     * @param random random source for jitter and stalls
     */
    public FaultProxy(
            EventLoopGroup loops,
            int listenPort,
            int targetPort,
            Ticker ticker,
            RandomGenerator random) {
        mLoops = loops;
        mTargetPort = targetPort;
        mTicker = ticker;
        mRandom = random;
        mListener =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        accept(client);
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", listenPort))
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the port on which the proxy listens. */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /** Returns the number of bytes received from clients. */
    public long bytesToTarget() {
        return mBytesToTarget.sum();
    }

    /** Returns the number of bytes received from the target. */
    public long bytesToClient() {
        return mBytesToClient.sum();
    }

    /** Returns the current faults. */
    public ProxyFaults faults() {
        return mFaults.get();
    }

    /** Sets the faults; closes the open connections if {@code cut} is set. */
    public void setFaults(ProxyFaults faults) {
        mFaults.set(faults);
        if (faults.cut()) {
            closeConnections();
        }
    }

    /** Closes the open connections; new ones are accepted unless {@code cut} is set. */
    public void closeConnections() {
        mConnections.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        closeConnections();
    }

    private void accept(Channel client) {
        if (mFaults.get().cut()) {
            client.close();
            return;
        }
        mConnections.add(client);
        ChannelFuture connected =
                new Bootstrap()
                        .group(client.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2_000)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel target) {
                                        mConnections.add(target);
                                        target.pipeline().addLast(new Forwarder(client, false));
                                        client.pipeline().addLast(new Forwarder(target, true));
                                    }
                                })
                        .connect(new InetSocketAddress("127.0.0.1", mTargetPort));
        connected.addListener(
                (ChannelFutureListener)
                        future -> {
                            if (future.isSuccess()) {
                                client.config().setAutoRead(true);
                                future.channel().config().setAutoRead(true);
                            } else {
                                client.close();
                            }
                        });
    }

    private synchronized long drawDelayNanos(ProxyFaults faults) {
        double millis = faults.delayMillis() + mRandom.nextDouble() * faults.jitterMillis();
        if (faults.stallRate() > 0 && mRandom.nextDouble() < faults.stallRate()) {
            millis += faults.stallMillis();
        }
        return (long) (millis * 1e6);
    }

    private boolean consumeLostReply() {
        ProxyFaults before =
                mFaults.getAndUpdate(
                        f -> f.loseReplies() > 0 ? f.withLoseReplies(f.loseReplies() - 1) : f);
        return before.loseReplies() > 0;
    }

    /** An action and the time at which it is due. */
    private record DelayedAction(long dueNanos, Runnable action) {}

    /** Forwards the bytes of one direction in order. Confined to one event loop. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel mOut;
        private final boolean mToTarget;
        private final Deque<DelayedAction> mDelayedActions = new ArrayDeque<>();
        private long mLastDueNanos;
        private long mDelayedBytes;

        Forwarder(Channel out, boolean toTarget) {
            mOut = out;
            mToTarget = toTarget;
            mLastDueNanos = mTicker.readNanos();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            (mToTarget ? mBytesToTarget : mBytesToClient).add(bytes.readableBytes());
            ProxyFaults faults = mFaults.get();
            if (faults.halfOpen().drops(mToTarget)) {
                bytes.release();
                return;
            }
            if (!mToTarget && consumeLostReply()) {
                bytes.release();
                mOut.close();
                ctx.close();
                return;
            }
            long size = bytes.readableBytes();
            mDelayedBytes += size;
            if (mDelayedBytes > MAX_DELAYED_BYTES) {
                ctx.channel().config().setAutoRead(false);
            }
            runAfterDelay(
                    ctx,
                    faults,
                    () ->
                            mOut.writeAndFlush(bytes)
                                    .addListener(future -> onForwarded(ctx.channel(), size)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ProxyFaults faults = mFaults.get();
            if (!faults.halfOpen().drops(mToTarget)) {
                runAfterDelay(
                        ctx,
                        faults,
                        () ->
                                mOut.writeAndFlush(Unpooled.EMPTY_BUFFER)
                                        .addListener(ChannelFutureListener.CLOSE));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void runAfterDelay(ChannelHandlerContext ctx, ProxyFaults faults, Runnable action) {
            long nowNanos = mTicker.readNanos();
            long dueNanos = Math.max(mLastDueNanos, nowNanos + drawDelayNanos(faults));
            mLastDueNanos = dueNanos;
            if (dueNanos <= nowNanos && mDelayedActions.isEmpty()) {
                action.run();
                return;
            }
            mDelayedActions.add(new DelayedAction(dueNanos, action));
            if (mDelayedActions.size() == 1) {
                scheduleNextAction(ctx);
            }
        }

        // Only the first action has a timer, as timers with nearly equal deadlines may be
        // reordered.
        private void scheduleNextAction(ChannelHandlerContext ctx) {
            long delayNanos = mDelayedActions.getFirst().dueNanos() - mTicker.readNanos();
            ctx.channel()
                    .eventLoop()
                    .schedule(
                            () -> runDueActions(ctx),
                            Math.max(0, delayNanos),
                            TimeUnit.NANOSECONDS);
        }

        private void runDueActions(ChannelHandlerContext ctx) {
            long nowNanos = mTicker.readNanos();
            while (!mDelayedActions.isEmpty()
                    && mDelayedActions.getFirst().dueNanos() <= nowNanos) {
                mDelayedActions.removeFirst().action().run();
            }
            if (!mDelayedActions.isEmpty()) {
                scheduleNextAction(ctx);
            }
        }

        private void onForwarded(Channel in, long size) {
            mDelayedBytes -= size;
            if (mDelayedBytes <= MAX_DELAYED_BYTES && !in.config().isAutoRead()) {
                in.config().setAutoRead(true);
            }
        }
    }
}
