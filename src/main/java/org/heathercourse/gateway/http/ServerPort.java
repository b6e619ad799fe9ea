package org.heathercourse.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** A listening TCP port. Safe for use by several threads. */
public final class ServerPort {
    private static final int BACKLOG = 1024;

    private final Channel mChannel;

    private ServerPort(Channel channel) {
        mChannel = channel;
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on
     * @param group event loops of the connections
     * @param initializer sets up the pipeline of a connection
     * @return the port
     * @throws HeathercourseException of kind INVALID_SETTING if the address cannot be bound
     */
    static ServerPort open(
            InetSocketAddress address, EventLoopGroup group, Consumer<Channel> initializer) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initializer.accept(channel);
                                    }
                                });
        try {
            return new ServerPort(bootstrap.bind(address).sync().channel());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while binding " + address, e);
        } catch (RuntimeException e) {
            throw HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                    .message("cannot listen on " + address)
                    .remedy("choose a free port at an address of this VM")
                    .cause(e)
                    .build();
        }
    }

    /** Returns the port number; assigned by the system if port 0 was given. */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    /** Stops listening; open connections stay open. */
    public void close() {
        mChannel.close();
    }
}
