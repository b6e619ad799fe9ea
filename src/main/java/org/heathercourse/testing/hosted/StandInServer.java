package org.heathercourse.testing.hosted;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * An HTTP server on a free loopback port that creates a handler for each connection. Open from
 * construction until {@link #close()}. Thread-safe.
 */
final class StandInServer implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_HEAD_BYTES)
                    .setMaxHeaderSize(MAX_HEAD_BYTES);

    private static final int MAX_REQUEST_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup mGroup;
    private final ServerBootstrap mBootstrap;
    private final int mPort;
    private final Set<Channel> mConnections = ConcurrentHashMap.newKeySet();
    private volatile Channel mChannel;

    StandInServer(String name, Supplier<ChannelHandler> handler) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        mBootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        mConnections.add(channel);
                                        channel.closeFuture()
                                                .addListener(done -> mConnections.remove(channel));
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec(DECODER))
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(handler.get());
                                    }
                                });
        mChannel = mBootstrap.bind("127.0.0.1", 0).syncUninterruptibly().channel();
        mPort = ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    int port() {
        return mPort;
    }

    /**
     * Closes the port and all connections, as the end of a process does, and opens the port again.
     *
     * @param downMillis time until the port is open again, in milliseconds
     * @param onRestart called then
     */
    void crash(long downMillis, Runnable onRestart) {
        mChannel.close();
        mConnections.forEach(Channel::close);
        mGroup.schedule(
                () ->
                        mBootstrap
                                .bind("127.0.0.1", mPort)
                                .addListener(
                                        (ChannelFutureListener)
                                                bound -> {
                                                    mChannel = bound.channel();
                                                    onRestart.run();
                                                }),
                downMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
