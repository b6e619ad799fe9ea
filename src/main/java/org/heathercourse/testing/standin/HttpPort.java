package org.heathercourse.testing.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.heathercourse.log.EventLog;

/**
 * An HTTP server on one loopback port that applies the faults of its part before a request reaches
 * the handler. All ports of a process share a few event loops. Thread-safe.
 */
final class HttpPort implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(HttpPort.class);
    private static final AttributeKey<Exchange> CURRENT = AttributeKey.valueOf("current-exchange");
    private static final long PAUSE_POLL_MILLIS = 10;

    private final EventLoopGroup mLoops;
    private final Handler mHandler;
    private final FaultSwitches mFaults;
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel mListener;
    private int mPort;
    private boolean mClosed;

    /** Handles requests on event loops; must not block. */
    interface Handler {
        /** Handles a request whose body has arrived completely. */
        void handle(Exchange exchange) throws IOException;

        /** Returns the queueing delay of a request in nanoseconds. */
        default long queueDelayNanos(Exchange exchange) {
            return 0;
        }

        /** Called when the head of a request arrives, unless an outage drops the request. */
        default void onRequestHead(Exchange exchange) {}

        /** Returns whether the body is echoed while it arrives. */
        default boolean isEcho(Exchange exchange) {
            return false;
        }

        /** Called for an echo request before its response starts. */
        default void onEchoStarted(Exchange exchange) {}

        /** Called for each chunk of an echoed body. */
        default void onEchoContent(Exchange exchange, ByteBuf chunk) {}

        /** Returns whether the request has side effects, so that its reply can be lost. */
        default boolean hasSideEffects(Exchange exchange) {
            return !exchange.method().equals("GET");
        }
    }

    HttpPort(EventLoopGroup loops, int port, FaultSwitches faults, Handler handler) {
        mLoops = loops;
        mPort = port;
        mFaults = faults;
        mHandler = handler;
        bind();
        faults.onChange(this::applyFaults);
    }

    int port() {
        return mPort;
    }

    String baseUrl() {
        return "http://127.0.0.1:" + mPort;
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        unbind();
    }

    private synchronized void applyFaults() {
        if (mClosed) {
            return;
        }
        boolean refuse = mFaults.isOnWithoutLimit(Fault.REFUSE);
        if (refuse && mListener != null) {
            unbind();
        } else if (!refuse && mListener == null) {
            bind();
        }
        if (mFaults.isOnWithoutLimit(Fault.OUTAGE)) {
            mConnections.close().awaitUninterruptibly();
        }
    }

    private boolean isDown() {
        return mFaults.isOnWithoutLimit(Fault.OUTAGE) || mFaults.isOnWithoutLimit(Fault.REFUSE);
    }

    private void bind() {
        mListener =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        mConnections.add(channel);
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(16_384, 65_536, 65_536),
                                                        new Connection());
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", mPort))
                        .syncUninterruptibly()
                        .channel();
        mPort = ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    private void unbind() {
        if (mListener != null) {
            mListener.close().syncUninterruptibly();
            mListener = null;
        }
        mConnections.close().awaitUninterruptibly();
    }

    static void clearCurrentExchange(Channel channel, Exchange exchange) {
        channel.attr(CURRENT).compareAndSet(exchange, null);
    }

    /** Handles one connection. Confined to its event loop. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Exchange mExchange;
        private ByteArrayOutputStream mBody;
        private boolean mEcho;
        private boolean mRequestDropped;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                onHead(ctx, request);
            }
            if (message instanceof HttpContent content && !mRequestDropped) {
                onContent(ctx, content);
            }
        }

        private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
            mExchange = new Exchange(ctx.channel(), request);
            mBody = new ByteArrayOutputStream();
            mRequestDropped = mFaults.consume(Fault.OUTAGE).isPresent();
            if (mRequestDropped) {
                ctx.close();
                return;
            }
            if (HttpUtil.is100ContinueExpected(request)) {
                ctx.writeAndFlush(
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            ctx.channel().attr(CURRENT).set(mExchange);
            mEcho = mHandler.isEcho(mExchange);
            mHandler.onRequestHead(mExchange);
            if (mEcho) {
                mHandler.onEchoStarted(mExchange);
                mExchange.startStream("application/octet-stream");
            }
        }

        private void onContent(ChannelHandlerContext ctx, HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            ByteBuf chunk = content.content();
            if (mEcho) {
                mHandler.onEchoContent(mExchange, chunk);
                if (chunk.isReadable()) {
                    mExchange.write(chunk.retain());
                }
                if (last) {
                    mExchange.endStream();
                }
                return;
            }
            byte[] bytes = new byte[chunk.readableBytes()];
            chunk.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (last) {
                mExchange.setBody(mBody.toByteArray());
                Exchange exchange = mExchange;
                long delayMillis = (long) mFaults.consume(Fault.DELAY_MS).orElse(0);
                dispatchAfterDelay(ctx, exchange, delayMillis);
            }
        }

        private void dispatchAfterDelay(
                ChannelHandlerContext ctx, Exchange exchange, long delayMillis) {
            if (delayMillis > 0) {
                ctx.executor()
                        .schedule(
                                () -> dispatchAfterDelay(ctx, exchange, 0),
                                delayMillis,
                                TimeUnit.MILLISECONDS);
            } else if (mFaults.isPaused()) {
                dispatchAfterDelay(ctx, exchange, PAUSE_POLL_MILLIS);
            } else if (mFaults.consume(Fault.REFUSE).isPresent()) {
                exchange.error(503, "refused by a fault switch", true);
            } else if (mFaults.drawAndConsume(Fault.FAIL_RATE)) {
                exchange.error(500, "failed by a fault switch", false);
            } else if (!isDown()) {
                // A delayed request takes effect even if the client has disconnected.
                long queueNanos = mHandler.queueDelayNanos(exchange);
                if (queueNanos > 0) {
                    ctx.executor()
                            .schedule(() -> handle(exchange), queueNanos, TimeUnit.NANOSECONDS);
                } else {
                    handle(exchange);
                }
            }
        }

        private void handle(Exchange exchange) {
            if (mHandler.hasSideEffects(exchange)
                    && mFaults.consume(Fault.LOSE_REPLY).isPresent()) {
                exchange.markReplyLost();
            }
            try {
                mHandler.handle(exchange);
            } catch (IOException | IllegalArgumentException e) {
                exchange.error(400, "bad request: " + e, true);
            } catch (RuntimeException e) {
                LOG.error("stand_in_failed", e, "uri", exchange.path());
                exchange.error(500, "stand-in failed: " + e, false);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Exchange current = ctx.channel().attr(CURRENT).getAndSet(null);
            if (current != null) {
                current.onConnectionClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("stand_in_connection_failed", "cause", cause);
            ctx.close();
        }
    }
}
