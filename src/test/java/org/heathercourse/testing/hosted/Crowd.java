package org.heathercourse.testing.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heathercourse.core.time.Ticker;

/**
 * Untrusted callers that send and mostly do not read, on one connection each. A connection that the
 * gateway refuses or closes is left alone. Not thread-safe.
 */
public final class Crowd implements AutoCloseable {
    /** Size in bytes of the receive buffer, so that unread responses stay at the gateway. */
    private static final int RECEIVE_BYTES = 4_096;

    private static final int CONNECT_MILLIS = 10_000;

    /** Time without progress after which the gateway is taken to read no more. */
    private static final long STALL_MILLIS = 2_000;

    private final List<Member> mMembers = new ArrayList<>();

    private static final class Member {
        private final SocketChannel mChannel;
        private final ByteBuffer mUnsent;
        private boolean mClosed;

        Member(SocketChannel channel, ByteBuffer unsent) {
            mChannel = channel;
            mUnsent = unsent;
        }
    }

    /** Connects callers that will send the same bytes each. */
    public void add(int count, InetSocketAddress address, String bytes) {
        ByteBuffer shared = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < count; i++) {
            try {
                SocketChannel channel = SocketChannel.open();
                channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BYTES);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.socket().connect(address, CONNECT_MILLIS);
                channel.configureBlocking(false);
                mMembers.add(new Member(channel, shared.duplicate()));
            } catch (IOException e) {
                // A gateway may refuse connections of a crowd.
                Thread.onSpinWait();
            }
        }
    }

    /**
     * Sends all bytes, by turns, until all are sent or the gateway reads no more of them.
     *
     * @param pieceBytes number of bytes that a caller sends in its turn
     */
    public void send(int pieceBytes) throws InterruptedException {
        long progressMillis = Ticker.system().readMillis();
        boolean isUnfinished = true;
        while (isUnfinished && Ticker.system().readMillis() - progressMillis < STALL_MILLIS) {
            isUnfinished = false;
            boolean hasSent = false;
            for (Member member : mMembers) {
                hasSent |= sendPiece(member, pieceBytes);
                isUnfinished |= !member.mClosed && member.mUnsent.hasRemaining();
            }
            if (hasSent) {
                progressMillis = Ticker.system().readMillis();
            } else {
                Thread.sleep(10);
            }
        }
    }

    private static boolean sendPiece(Member member, int pieceBytes) {
        if (member.mClosed || !member.mUnsent.hasRemaining()) {
            return false;
        }
        ByteBuffer piece = member.mUnsent.duplicate();
        piece.limit(Math.min(piece.limit(), piece.position() + pieceBytes));
        try {
            int sent = member.mChannel.write(piece);
            member.mUnsent.position(piece.position());
            return sent > 0;
        } catch (IOException e) {
            member.mClosed = true;
            return true;
        }
    }

    /** Reads a few bytes of each caller's response, as very slow callers do. */
    public void readSlowly(int rounds) throws InterruptedException {
        ByteBuffer few = ByteBuffer.allocate(16);
        for (int i = 0; i < rounds; i++) {
            for (Member member : mMembers) {
                few.clear();
                try {
                    member.mClosed |= member.mChannel.read(few) < 0;
                } catch (IOException e) {
                    member.mClosed = true;
                }
            }
            Thread.sleep(20);
        }
    }

    @Override
    public void close() throws IOException {
        for (Member member : mMembers) {
            member.mChannel.close();
        }
    }
}
