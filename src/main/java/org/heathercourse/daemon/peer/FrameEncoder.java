package org.heathercourse.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Encoder of frames with a length prefix of 4 bytes. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {
    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) {
        byte[] bytes = frame.encode();
        if (bytes.length > LinkHandler.MAX_FRAME_BYTES) {
            throw new IllegalArgumentException(
                    "frame has "
                            + bytes.length
                            + " bytes, expected at most "
                            + LinkHandler.MAX_FRAME_BYTES);
        }
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }
}
