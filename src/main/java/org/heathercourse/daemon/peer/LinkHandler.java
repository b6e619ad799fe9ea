package org.heathercourse.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.heathercourse.log.EventLog;

/**
 * Netty handler of one connection: performs the handshake, then passes frames on. Until the
 * handshake has completed, frames are limited to a small size, so that unauthenticated peers cannot
 * cause large allocations. Confined to the channel's event loop.
 */
final class LinkHandler extends ChannelInboundHandlerAdapter {
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    static final int MAX_HANDSHAKE_FRAME_BYTES = 4096;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 5000;
    private static final EventLog LOG = EventLog.of(LinkHandler.class);

    /** Callbacks for the events of a connection. */
    interface Events {
        /** Returns whether the acceptor that answered is the daemon to which the link leads. */
        boolean isExpectedPeer(Frame challenge);

        /** Called when a connection is open and its handshake begins. */
        default void onAccepted(Channel channel) {}

        /** Called when a handshake has completed, and when the connection has closed. */
        default void onHandshakeEnded(Channel channel) {}

        void onReady(Link link);

        void onFrame(Link link, Frame frame);

        void onClosed(Link link, String reason);
    }

    private final Handshake mHandshake;
    private final Frame mOwnFrame;
    private final boolean mIsOpener;
    private final Events mEvents;
    private Frame mHello;
    private Frame mChallenge;
    private Link mLink;
    private boolean mReady;
    private ScheduledFuture<?> mHandshakeEnd;
    private String mCloseReason = "the connection was closed";

    /**
     * Creates a handler.
     *
     * @param handshake computes and verifies proofs
     * @param ownFrame hello if this side opens the connection, otherwise challenge without a proof
     * @param events receives the events
     */
    LinkHandler(Handshake handshake, Frame ownFrame, Events events) {
        mHandshake = handshake;
        mOwnFrame = ownFrame;
        mIsOpener = ownFrame.k().equals(Frame.HELLO);
        mEvents = events;
    }

    static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, 4, 0, 4);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mLink = new Link(ctx.channel());
        mEvents.onAccepted(ctx.channel());
        mHandshakeEnd =
                ctx.executor()
                        .schedule(
                                () -> closeWithReason(ctx, "the handshake timed out"),
                                HANDSHAKE_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS);
        if (mIsOpener) {
            mHello = mOwnFrame;
            mLink.write(mOwnFrame);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object received) {
        ByteBuf buffer = (ByteBuf) received;
        Frame frame;
        try {
            byte[] bytes = new byte[buffer.readableBytes()];
            buffer.readBytes(bytes);
            frame = Frame.decode(bytes);
        } catch (IOException | RuntimeException e) {
            closeWithReason(ctx, "malformed frame");
            return;
        } finally {
            ReferenceCountUtil.release(buffer);
        }
        mLink.countReceivedFrame();
        if (mReady) {
            mEvents.onFrame(mLink, frame);
        } else if (mIsOpener) {
            handleHandshakeAsOpener(ctx, frame);
        } else {
            handleHandshakeAsAcceptor(ctx, frame);
        }
    }

    private void handleHandshakeAsOpener(ChannelHandlerContext ctx, Frame frame) {
        if (mChallenge == null && Handshake.wellFormed(frame, Frame.CHALLENGE)) {
            mChallenge = frame;
            if (!mHandshake.verify("acceptor", mHello, mChallenge, frame.mac())) {
                closeWithReason(ctx, "the peer did not prove the shared secret");
            } else if (!mEvents.isExpectedPeer(frame)) {
                closeWithReason(ctx, "another daemon answers at this address");
            } else {
                byte[] mac = mHandshake.computeProof("opener", mHello, mChallenge);
                mLink.write(new Frame(Frame.PROOF, 0, null, null, mac, null, 0));
            }
        } else if (mChallenge != null && frame.k().equals(Frame.READY)) {
            completeHandshake(ctx);
        } else {
            closeWithReason(ctx, "unexpected frame in the handshake");
        }
    }

    private void handleHandshakeAsAcceptor(ChannelHandlerContext ctx, Frame frame) {
        if (mHello == null && Handshake.wellFormed(frame, Frame.HELLO)) {
            mHello = frame;
            byte[] mac = mHandshake.computeProof("acceptor", mHello, mOwnFrame);
            mLink.write(
                    new Frame(
                            Frame.CHALLENGE,
                            0,
                            null,
                            mOwnFrame.nonce(),
                            mac,
                            mOwnFrame.vm(),
                            mOwnFrame.incarnation()));
        } else if (mHello != null
                && frame.k().equals(Frame.PROOF)
                && mHandshake.verify("opener", mHello, mOwnFrame, frame.mac())) {
            completeHandshake(ctx);
            mLink.write(Frame.control(Frame.READY));
        } else {
            closeWithReason(ctx, "the peer did not prove the shared secret");
        }
    }

    /** Cancels the timeout, which would keep a closed connection in memory until its time. */
    private void endHandshake(ChannelHandlerContext ctx) {
        if (mHandshakeEnd != null) {
            mHandshakeEnd.cancel(false);
        }
        mEvents.onHandshakeEnded(ctx.channel());
    }

    private void completeHandshake(ChannelHandlerContext ctx) {
        mReady = true;
        endHandshake(ctx);
        ctx.pipeline().replace("decoder", "decoder", decoder(MAX_FRAME_BYTES));
        mEvents.onReady(mLink);
    }

    private void closeWithReason(ChannelHandlerContext ctx, String reason) {
        mCloseReason = reason;
        LOG.debug("peer_link_refused", "peer", ctx.channel().remoteAddress(), "reason", reason);
        ctx.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        // Only the acceptor stops reading. If both sides stopped, neither would drain the other's
        // write buffer, and the link would deadlock.
        if (!mIsOpener) {
            ctx.channel().config().setAutoRead(ctx.channel().isWritable());
        }
        mLink.onWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                closeWithReason(ctx, "no frame arrived within the read timeout");
            } else if (mReady) {
                mLink.write(Frame.control(Frame.PING));
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endHandshake(ctx);
        if (mLink != null) {
            mLink.onChannelClosed();
        }
        mEvents.onClosed(mLink, mCloseReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof Error) {
            LOG.error("peer_link_failed", cause);
        }
        closeWithReason(ctx, "I/O error: " + cause.getClass().getSimpleName());
    }
}
