package org.heathercourse.testing.hosted;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * An HTTP server on a free loopback port that creates a handler for each connection. Open from
 * construction until {@link #close()}. Thread-safe.
 */
final class StandInServer implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup mGroup;
    private final Channel mChannel;

    StandInServer(String name, Supplier<ChannelHandler> handler) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        mChannel =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(handler.get());
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
    }

    int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
