package org.heathercourse.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Writes frames with their length in front. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {
    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) {
        byte[] bytes = frame.encode();
        if (bytes.length > LinkHandler.FRAME_LIMIT_BYTES) {
            throw new IllegalArgumentException(
                    "frame has "
                            + bytes.length
                            + " bytes, expected at most "
                            + LinkHandler.FRAME_LIMIT_BYTES);
        }
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }
}
