package org.heathercourse.gateway.target;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Tells a connection that the target has ended its output in order, as opposed to a connection that
 * was reset or that this process has closed.
 *
 * <p>It stands before the codec, which reports the end of a body that ends with its connection in
 * each of these cases. The channel must allow half-closure; otherwise there is no such event.
 */
final class InputEndHandler extends ChannelInboundHandlerAdapter {
    private final TargetConnection mConnection;

    InputEndHandler(TargetConnection connection) {
        mConnection = connection;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            mConnection.onInputEnded();
        }
        context.fireUserEventTriggered(event);
    }
}
