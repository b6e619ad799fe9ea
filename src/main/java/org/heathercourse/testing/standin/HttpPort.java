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
 * the handler. Few event loops serve all ports of a process. Safe for use by several threads.
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

    /** Handles requests. Must not block. */
    interface Handler {
        /** Handles a request whose body has arrived. */
        void handle(Exchange exchange) throws IOException;

        /** Returns the nanoseconds until a request is served. */
        default long queueDelayNanos(Exchange exchange) {
            return 0;
        }

        /** Sees each request when its head arrives, unless an outage swallows it. */
        default void arrived(Exchange exchange) {}

        /** Returns whether the body is to be sent back while it arrives. */
        default boolean echoes(Exchange exchange) {
            return false;
        }

        /** Sees a request whose body is sent back, before the answer starts. */
        default void echoStarted(Exchange exchange) {}

        /** Sees the pieces of a body that is sent back. */
        default void echoed(Exchange exchange, ByteBuf piece) {}

        /** Returns whether a lost reply is to be simulated for this request. */
        default boolean changesSomething(Exchange exchange) {
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
        boolean refuse = mFaults.unlimited(Fault.REFUSE);
        if (refuse && mListener != null) {
            unbind();
        } else if (!refuse && mListener == null) {
            bind();
        }
        if (mFaults.unlimited(Fault.OUTAGE)) {
            mConnections.close().awaitUninterruptibly();
        }
    }

    private boolean down() {
        return mFaults.unlimited(Fault.OUTAGE) || mFaults.unlimited(Fault.REFUSE);
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

    static void answered(Channel channel, Exchange exchange) {
        channel.attr(CURRENT).compareAndSet(exchange, null);
    }

    /** State of one connection. Used by its event loop only. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Exchange mExchange;
        private ByteArrayOutputStream mBody;
        private boolean mEcho;
        private boolean mIgnored;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                onHead(ctx, request);
            }
            if (message instanceof HttpContent content && !mIgnored) {
                onContent(ctx, content);
            }
        }

        private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
            mExchange = new Exchange(ctx.channel(), request);
            mBody = new ByteArrayOutputStream();
            mIgnored = mFaults.take(Fault.OUTAGE).isPresent();
            if (mIgnored) {
                ctx.close();
                return;
            }
            if (HttpUtil.is100ContinueExpected(request)) {
                ctx.writeAndFlush(
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            ctx.channel().attr(CURRENT).set(mExchange);
            mEcho = mHandler.echoes(mExchange);
            mHandler.arrived(mExchange);
            if (mEcho) {
                mHandler.echoStarted(mExchange);
                mExchange.startStream("application/octet-stream");
            }
        }

        private void onContent(ChannelHandlerContext ctx, HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            ByteBuf piece = content.content();
            if (mEcho) {
                mHandler.echoed(mExchange, piece);
                if (piece.isReadable()) {
                    mExchange.write(piece.retain());
                }
                if (last) {
                    mExchange.endStream();
                }
                return;
            }
            byte[] bytes = new byte[piece.readableBytes()];
            piece.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (last) {
                mExchange.body(mBody.toByteArray());
                Exchange exchange = mExchange;
                long delayMillis = (long) mFaults.take(Fault.DELAY_MS).orElse(0);
                later(ctx, exchange, delayMillis);
            }
        }

        private void later(ChannelHandlerContext ctx, Exchange exchange, long delayMillis) {
            if (delayMillis > 0) {
                ctx.executor()
                        .schedule(
                                () -> later(ctx, exchange, 0), delayMillis, TimeUnit.MILLISECONDS);
            } else if (mFaults.paused()) {
                later(ctx, exchange, PAUSE_POLL_MILLIS);
            } else if (mFaults.take(Fault.REFUSE).isPresent()) {
                exchange.error(503, "refused by a fault switch", true);
            } else if (mFaults.draw(Fault.FAIL_RATE)) {
                exchange.error(500, "failed by a fault switch", false);
            } else if (!down()) {
                // Also if the client has gone: a late request still takes effect.
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
            if (mHandler.changesSomething(exchange) && mFaults.take(Fault.LOSE_REPLY).isPresent()) {
                exchange.loseReply();
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
                current.disconnected();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("stand_in_connection_failed", "cause", cause);
            ctx.close();
        }
    }
}
