package org.heathercourse.testing.hosted;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.heathercourse.testing.hosted.SecondAnswers.Run;

/**
 * One connection of a gateway to a target that answers twice. A second answer does not stand within
 * the body of a stream: it is written behind that body. Confined to its event loop.
 */
final class SecondAnswerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final SecondAnswers mAnswers;
    private final Queue<Run> mHeldCopies = new ArrayDeque<>();
    private boolean mWritingBody;

    SecondAnswerConnection(SecondAnswers answers) {
        mAnswers = answers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        Run run = mAnswers.begin(context.channel().id().asShortText(), request);
        int intervalMillis = mAnswers.drawEventIntervalMillis();
        schedule(
                context,
                () -> writePart(context, run, 0, intervalMillis),
                mAnswers.drawAnswerDelayMillis());
    }

    private void writePart(ChannelHandlerContext context, Run run, int index, int intervalMillis) {
        List<String> parts = run.parts();
        write(context, parts.get(index));
        mWritingBody = index + 1 < parts.size();
        if (mWritingBody) {
            schedule(
                    context,
                    () -> writePart(context, run, index + 1, intervalMillis),
                    intervalMillis);
        } else {
            finish(context, run);
        }
    }

    private void finish(ChannelHandlerContext context, Run run) {
        while (!mHeldCopies.isEmpty()) {
            write(context, mAnswers.copy(mHeldCopies.remove()));
        }
        if (mAnswers.drawWhetherToCopy()) {
            schedule(context, () -> writeCopy(context, run), mAnswers.drawCopyDelayMillis());
        }
    }

    private void writeCopy(ChannelHandlerContext context, Run run) {
        if (!context.channel().isActive()) {
            return;
        }
        if (mWritingBody) {
            mHeldCopies.add(run);
        } else {
            write(context, mAnswers.copy(run));
        }
    }

    private static void schedule(ChannelHandlerContext context, Runnable task, int delayMillis) {
        context.executor().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Writes bytes past the HTTP codec, which allows one response for each request. */
    private static void write(ChannelHandlerContext context, String text) {
        context.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Closes the connection if it failed, as the gateway may reset it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
        } else {
            context.fireExceptionCaught(cause);
        }
    }
}
