package org.heathercourse.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * Tells a connection what cannot be seen behind the codec.
 *
 * <p>First, that bytes arrive and how many, because the codec keeps those of an unfinished head.
 * Second, that the target has ended its output in order, as opposed to a connection that was reset
 * or that this process has closed: the codec reports the end of a body that ends with its
 * connection in each of these cases. The channel must allow half-closure; otherwise there is no
 * such event.
 */
final class InputObserver extends ChannelInboundHandlerAdapter {
    private final TargetConnection mConnection;

    InputObserver(TargetConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        if (!mConnection.acceptsBytes(bytes)) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
        mConnection.onBytesRead(bytes);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            mConnection.onInputEnded();
        }
        context.fireUserEventTriggered(event);
    }
}
