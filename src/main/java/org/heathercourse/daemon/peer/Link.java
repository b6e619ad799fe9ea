package org.heathercourse.daemon.peer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.heathercourse.daemon.peer.PeerMessage.CallBody;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;

/**
 * An authenticated connection to a peer with its open conversations. A conversation is a request or
 * a call and is identified by its correlation number. Confined to the channel's event loop, except
 * {@link #isOpen}, {@link #writable}, {@link #close} and {@link #runOnEventLoop}.
 */
final class Link {
    /** Maximum size of a body part in bytes; larger bodies are split so that calls interleave. */
    static final int MAX_PART_BYTES = 256 * 1024;

    /** Maximum number of open conversations on one link. */
    static final int MAX_CONVERSATIONS = 16_384;

    /** Receiver of the messages of one conversation. */
    interface Conversation {
        void onMessage(PeerMessage message);

        /** Called once if the link breaks before the conversation has ended. */
        void onLost();
    }

    private final Channel mChannel;
    private final Map<Long, Conversation> mConversations = new HashMap<>();
    private final List<Runnable> mWritableActions = new ArrayList<>();
    private long mLastConversationId;
    private long mReceivedFrames;
    private volatile boolean mClosed;

    Link(Channel channel) {
        mChannel = channel;
    }

    EventExecutor eventLoop() {
        return mChannel.eventLoop();
    }

    void runOnEventLoop(Runnable action) {
        if (mChannel.eventLoop().inEventLoop()) {
            action.run();
        } else {
            mChannel.eventLoop().execute(action);
        }
    }

    /**
     * Registers a conversation that this side opens.
     *
     * @return its number, or 0 if the link is closed or has too many conversations
     */
    long openConversation(Conversation conversation) {
        if (mClosed || !mChannel.isActive() || mConversations.size() >= MAX_CONVERSATIONS) {
            return 0;
        }
        mConversations.put(++mLastConversationId, conversation);
        return mLastConversationId;
    }

    /**
     * Registers a conversation that the other side opens.
     *
     * @return false if the number is in use or the link has too many conversations
     */
    boolean acceptConversation(long id, Conversation conversation) {
        return mConversations.size() < MAX_CONVERSATIONS
                && mConversations.putIfAbsent(id, conversation) == null;
    }

    void removeConversation(long id) {
        mConversations.remove(id);
    }

    /** Counts a received frame. */
    void countReceivedFrame() {
        mReceivedFrames++;
    }

    /** Returns the number of frames received so far. */
    long receivedFrames() {
        return mReceivedFrames;
    }

    /**
     * Closes the link if no frame was received since a count was read, since an unresponsive link
     * does not recover.
     *
     * @param receivedFrames value of {@link #receivedFrames} to compare with
     */
    void closeIfNoFrameSince(long receivedFrames) {
        if (mReceivedFrames == receivedFrames) {
            close();
        }
    }

    void deliver(long id, PeerMessage message) {
        Conversation conversation = mConversations.get(id);
        if (conversation != null && message != null) {
            conversation.onMessage(message);
        }
    }

    void write(Frame frame) {
        if (mChannel.isActive()) {
            mChannel.writeAndFlush(frame, mChannel.voidPromise());
        }
    }

    boolean writable() {
        return mChannel.isWritable() || !mChannel.isActive();
    }

    void onWritable(Runnable action) {
        if (writable()) {
            action.run();
        } else {
            mWritableActions.add(action);
        }
    }

    void onWritabilityChanged() {
        if (writable()) {
            List<Runnable> actions = List.copyOf(mWritableActions);
            mWritableActions.clear();
            actions.forEach(Runnable::run);
        }
    }

    boolean isOpen() {
        return !mClosed && mChannel.isActive();
    }

    /** Closes the link; from now on it opens no conversation. */
    void close() {
        mClosed = true;
        mChannel.close();
    }

    void onChannelClosed() {
        mClosed = true;
        List<Conversation> lost = List.copyOf(mConversations.values());
        mConversations.clear();
        lost.forEach(Conversation::onLost);
        onWritabilityChanged();
    }

    static boolean endsCall(PeerMessage message) {
        return message instanceof CallEnd || message instanceof ErrorReply;
    }

    /** Splits a message whose body exceeds {@link #MAX_PART_BYTES}. */
    static List<PeerMessage> splitIntoParts(PeerMessage message) {
        List<PeerMessage> parts = new ArrayList<>();
        if (message instanceof CallStart s
                && s.body() != null
                && s.body().length > MAX_PART_BYTES) {
            parts.add(new CallStart(s.call(), part(s.body(), 0), false));
            for (int at = MAX_PART_BYTES; at < s.body().length; at += MAX_PART_BYTES) {
                boolean last = at + MAX_PART_BYTES >= s.body().length && s.bodyComplete();
                parts.add(new CallBody(part(s.body(), at), last));
            }
        } else if (message instanceof CallBody b && b.bytes().length > MAX_PART_BYTES) {
            for (int at = 0; at < b.bytes().length; at += MAX_PART_BYTES) {
                boolean last = at + MAX_PART_BYTES >= b.bytes().length && b.last();
                parts.add(new CallBody(part(b.bytes(), at), last));
            }
        } else if (message instanceof CallChunk c && c.bytes().length > MAX_PART_BYTES) {
            for (int at = 0; at < c.bytes().length; at += MAX_PART_BYTES) {
                parts.add(new CallChunk(part(c.bytes(), at)));
            }
        } else {
            parts.add(message);
        }
        return parts;
    }

    private static byte[] part(byte[] bytes, int from) {
        return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + MAX_PART_BYTES));
    }

    /** The accepting side of a call. Thread-safe. */
    static final class InboundCall implements PeerNetwork.CallStream, Conversation {
        private final Link mLink;
        private final long mId;
        private final AtomicBoolean mEnded = new AtomicBoolean();
        private final List<PeerMessage> mBuffered = new ArrayList<>();
        private Consumer<PeerMessage> mListener;
        private Runnable mLinkLostAction = () -> {};
        private boolean mLinkLost;

        InboundCall(Link link, long id) {
            mLink = link;
            mId = id;
        }

        @Override
        public void send(PeerMessage message) {
            boolean last = endsCall(message);
            if (last ? mEnded.getAndSet(true) : mEnded.get()) {
                return;
            }
            mLink.runOnEventLoop(
                    () -> {
                        for (PeerMessage part : splitIntoParts(message)) {
                            mLink.write(Frame.forMessage(Frame.MESSAGE, mId, part));
                        }
                        if (last) {
                            mLink.removeConversation(mId);
                        }
                    });
        }

        @Override
        public synchronized void onMessage(Consumer<PeerMessage> listener) {
            mListener = listener;
            mBuffered.forEach(listener);
            mBuffered.clear();
        }

        @Override
        public synchronized void onLinkLost(Runnable action) {
            mLinkLostAction = action;
            if (mLinkLost) {
                action.run();
            }
        }

        @Override
        public boolean writable() {
            return mLink.writable();
        }

        @Override
        public void onWritable(Runnable action) {
            mLink.runOnEventLoop(() -> mLink.onWritable(action));
        }

        @Override
        public synchronized void onMessage(PeerMessage message) {
            if (mListener == null) {
                mBuffered.add(message);
            } else {
                mListener.accept(message);
            }
        }

        @Override
        public synchronized void onLost() {
            mLinkLost = true;
            mLinkLostAction.run();
        }
    }
}
