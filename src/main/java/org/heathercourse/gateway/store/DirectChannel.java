package org.heathercourse.gateway.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.gateway.codec.ResponseDecoder;
import org.heathercourse.gateway.codec.ResponseHeadCheck;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;

/**
 * Sends requests to the store over direct HTTP connections.
 *
 * <p>A connection carries one request at a time. Replies carry no id, so that a connection is not
 * used again once a reply on it may belong to another request: it is closed if a request times out,
 * if an interim response or bytes behind a reply have arrived, and by any byte that arrives while
 * it is idle. Safe for use by several threads; all work runs on one event loop.
 */
public final class DirectChannel implements StoreChannel {
    private static final EventLog LOG = EventLog.of(DirectChannel.class);

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum size of a reply in bytes. The store's pages end at 1 MB before their encoding. */
    private static final int MAX_REPLY_BYTES = 4 * 1024 * 1024;

    private static final int MAX_IDLE_CONNECTIONS = 4;

    private final InetSocketAddress mAddress;
    private final EventLoop mLoop;
    private final Deque<Connection> mIdle = new ArrayDeque<>();

    /**
     * Creates a channel without connections.
     *
     * @param address address of the store
     * @param loop event loop of the connections
     */
    public DirectChannel(InetSocketAddress address, EventLoop loop) {
        mAddress = address;
        mLoop = loop;
    }

    @Override
    public CompletableFuture<Reply> send(Request request, long timeoutMillis) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        if (mLoop.inEventLoop()) {
            start(request, timeoutMillis, reply);
        } else {
            mLoop.execute(() -> start(request, timeoutMillis, reply));
        }
        return reply;
    }

    private void start(Request request, long timeoutMillis, CompletableFuture<Reply> reply) {
        Connection idle = mIdle.pollLast();
        while (idle != null && !idle.isActive()) {
            idle = mIdle.pollLast();
        }
        Exchange exchange = new Exchange(request, reply);
        exchange.startTimeout(timeoutMillis);
        if (idle != null) {
            idle.send(exchange);
        } else {
            connect(exchange);
        }
    }

    private void connect(Exchange exchange) {
        Connection connection = new Connection();
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
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(connection.mDecoder)
                                        .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
                                        .addLast(connection);
                            }
                        })
                .connect(mAddress)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                connection.send(exchange);
                            } else {
                                exchange.fail(
                                        StoreException.unavailable(
                                                "cannot connect to the store", done.cause()));
                            }
                        });
    }

    /**
     * Closes the idle connections after a timeout. What made one connection silent, such as a
     * change of the network, has often made all of them silent that were open at that time.
     */
    private void closeIdle() {
        List.copyOf(mIdle).forEach(Connection::close);
        mIdle.clear();
    }

    /** One request and its reply. */
    private final class Exchange {
        private final Request mRequest;
        private final CompletableFuture<Reply> mReply;
        private ScheduledFuture<?> mTimeout;
        private Connection mConnection;

        Exchange(Request request, CompletableFuture<Reply> reply) {
            mRequest = request;
            mReply = reply;
        }

        void startTimeout(long timeoutMillis) {
            mTimeout = mLoop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        }

        private void onTimeout() {
            String message = "the store did not reply before the timeout";
            fail(
                    mConnection == null
                            ? StoreException.unavailable(message, null)
                            : StoreException.outcomeUnknown(message, null));
            if (mConnection != null) {
                mConnection.close();
                closeIdle();
            }
        }

        void complete(Reply reply) {
            mTimeout.cancel(false);
            mReply.complete(reply);
        }

        void fail(StoreException cause) {
            mTimeout.cancel(false);
            mReply.completeExceptionally(cause);
        }
    }

    /**
     * Decodes replies. No request has the method HEAD or CONNECT, so that a reply can be decoded
     * without its request.
     */
    private static final class ReplyDecoder extends ResponseDecoder {
        private boolean mAwaitsReply;

        /** Closes the connection if no request waits; a decoder would keep the bytes for later. */
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (mAwaitsReply) {
                super.channelRead(context, message);
            } else {
                ReferenceCountUtil.release(message);
                context.close();
            }
        }

        /** Expects no more bytes; returns whether some have arrived behind the reply. */
        boolean endReply() {
            mAwaitsReply = false;
            return unreadBytes() > 0;
        }
    }

    /** A connection to the store. Confined to the event loop. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ReplyDecoder mDecoder = new ReplyDecoder();
        private ChannelHandlerContext mContext;
        private ChannelFuture mWriteFuture;
        private Exchange mExchange;

        /** Reply to the current request, whose end is the last that was read; else null. */
        private Reply mReply;

        private boolean mReusable;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            mContext = context;
        }

        boolean isActive() {
            return mContext.channel().isActive();
        }

        void close() {
            mContext.close();
        }

        void send(Exchange exchange) {
            if (exchange.mReply.isDone()) {
                release();
                return;
            }
            mExchange = exchange;
            mReusable = true;
            mDecoder.mAwaitsReply = true;
            exchange.mConnection = this;
            Request request = exchange.mRequest;
            DefaultFullHttpRequest message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(request.method()),
                            request.uri(),
                            Unpooled.wrappedBuffer(request.body()));
            String host = mAddress.getHostString() + ":" + mAddress.getPort();
            message.headers().set(HttpHeaderNames.HOST, host);
            if (request.body().length > 0) {
                message.headers()
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                        .set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            }
            mWriteFuture = mContext.writeAndFlush(message);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mReply != null) {
                return;
            }
            if (response.decoderResult().isFailure() || ResponseHeadCheck.isMixed(response)) {
                fail("the store's reply is not valid HTTP", null);
                context.close();
            } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                mReusable = false;
            } else {
                boolean hasRemainder = mDecoder.endReply();
                // A reply before the end of its request is no reply to the whole of it.
                mReusable &=
                        !hasRemainder && mWriteFuture.isSuccess() && HttpUtil.isKeepAlive(response);
                byte[] body = ByteBufUtil.getBytes(response.content());
                mReply = new Reply(response.status().code(), body);
            }
        }

        /** Ends the exchange once all bytes were read that have arrived with the reply. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (mReply != null) {
                completeExchange();
            }
        }

        private void completeExchange() {
            Exchange exchange = mExchange;
            Reply reply = mReply;
            mExchange = null;
            mReply = null;
            if (mReusable && isActive()) {
                release();
            } else {
                mContext.close();
            }
            exchange.complete(reply);
        }

        private void fail(String message, Throwable cause) {
            Exchange exchange = mExchange;
            mExchange = null;
            if (exchange != null) {
                exchange.fail(StoreException.outcomeUnknown(message, cause));
            }
        }

        private void release() {
            if (mIdle.size() < MAX_IDLE_CONNECTIONS) {
                mIdle.addLast(this);
            } else {
                mContext.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mIdle.remove(this);
            if (mReply != null) {
                mReusable = false;
                completeExchange();
            } else {
                fail("the store closed the connection without a reply", null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof Error) {
                LOG.error("store_connection_failed", cause);
            }
            if (mReply != null) {
                mReusable = false;
                completeExchange();
            } else {
                fail("the connection to the store failed", cause);
                context.close();
            }
        }
    }
}
