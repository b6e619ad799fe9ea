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
 * An open, authenticated connection with its conversations. A conversation is a request or a call;
 * it is known by its correlation number. All fields belong to the channel's event loop.
 */
final class Link {
    /** Bodies are sent in parts of this size so that calls share a link fairly. */
    static final int CHUNK_BYTES = 256 * 1024;

    /** Most conversations at once on one link. */
    static final int MAX_CONVERSATIONS = 16_384;

    /** What receives the messages of one conversation. */
    interface Conversation {
        void onMessage(PeerMessage message);

        void onLost();
    }

    private final Channel mChannel;
    private final Map<Long, Conversation> mConversations = new HashMap<>();
    private final List<Runnable> mWritableActions = new ArrayList<>();
    private long mLastId;
    private long mReceived;
    private volatile boolean mClosed;

    Link(Channel channel) {
        mChannel = channel;
    }

    EventExecutor loop() {
        return mChannel.eventLoop();
    }

    void run(Runnable action) {
        if (mChannel.eventLoop().inEventLoop()) {
            action.run();
        } else {
            mChannel.eventLoop().execute(action);
        }
    }

    /** Registers a conversation of this side and returns its number, or 0 if the link is unfit. */
    long open(Conversation conversation) {
        if (mClosed || !mChannel.isActive() || mConversations.size() >= MAX_CONVERSATIONS) {
            return 0;
        }
        mConversations.put(++mLastId, conversation);
        return mLastId;
    }

    /** Registers a conversation of the other side; returns whether the number was free. */
    boolean accept(long id, Conversation conversation) {
        return mConversations.size() < MAX_CONVERSATIONS
                && mConversations.putIfAbsent(id, conversation) == null;
    }

    void end(long id) {
        mConversations.remove(id);
    }

    /** Notes that a frame came in. */
    void received() {
        mReceived++;
    }

    /** Returns how many frames have come in. */
    long receivedFrames() {
        return mReceived;
    }

    /** Closes the link if no frame has come in since a count, as a silent link never recovers. */
    void closeIfSilentSince(long receivedFrames) {
        if (mReceived == receivedFrames) {
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

    void writabilityChanged() {
        if (writable()) {
            List<Runnable> actions = List.copyOf(mWritableActions);
            mWritableActions.clear();
            actions.forEach(Runnable::run);
        }
    }

    boolean isOpen() {
        return !mClosed && mChannel.isActive();
    }

    void close() {
        mChannel.close();
    }

    void closed() {
        mClosed = true;
        List<Conversation> lost = List.copyOf(mConversations.values());
        mConversations.clear();
        lost.forEach(Conversation::onLost);
        writabilityChanged();
    }

    static boolean isLast(PeerMessage message) {
        return message instanceof CallEnd || message instanceof ErrorReply;
    }

    /** Splits a message whose bytes exceed {@link #CHUNK_BYTES}. */
    static List<PeerMessage> split(PeerMessage message) {
        List<PeerMessage> parts = new ArrayList<>();
        if (message instanceof CallStart s && s.body() != null && s.body().length > CHUNK_BYTES) {
            parts.add(new CallStart(s.call(), part(s.body(), 0), false));
            for (int at = CHUNK_BYTES; at < s.body().length; at += CHUNK_BYTES) {
                boolean last = at + CHUNK_BYTES >= s.body().length && s.bodyComplete();
                parts.add(new CallBody(part(s.body(), at), last));
            }
        } else if (message instanceof CallBody b && b.bytes().length > CHUNK_BYTES) {
            for (int at = 0; at < b.bytes().length; at += CHUNK_BYTES) {
                boolean last = at + CHUNK_BYTES >= b.bytes().length && b.last();
                parts.add(new CallBody(part(b.bytes(), at), last));
            }
        } else if (message instanceof CallChunk c && c.bytes().length > CHUNK_BYTES) {
            for (int at = 0; at < c.bytes().length; at += CHUNK_BYTES) {
                parts.add(new CallChunk(part(c.bytes(), at)));
            }
        } else {
            parts.add(message);
        }
        return parts;
    }

    private static byte[] part(byte[] bytes, int from) {
        return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES));
    }

    /** The accepting side of a call. */
    static final class InboundCall implements PeerNetwork.CallStream, Conversation {
        private final Link mLink;
        private final long mId;
        private final AtomicBoolean mEnded = new AtomicBoolean();
        private final List<PeerMessage> mEarly = new ArrayList<>();
        private Consumer<PeerMessage> mListener;
        private Runnable mClosedAction = () -> {};
        private boolean mLost;

        InboundCall(Link link, long id) {
            mLink = link;
            mId = id;
        }

        @Override
        public void send(PeerMessage message) {
            boolean last = isLast(message);
            if (last ? mEnded.getAndSet(true) : mEnded.get()) {
                return;
            }
            mLink.run(
                    () -> {
                        for (PeerMessage part : split(message)) {
                            mLink.write(Frame.of(Frame.MESSAGE, mId, part));
                        }
                        if (last) {
                            mLink.end(mId);
                        }
                    });
        }

        @Override
        public synchronized void onMessage(Consumer<PeerMessage> listener) {
            mListener = listener;
            mEarly.forEach(listener);
            mEarly.clear();
        }

        @Override
        public synchronized void onLinkLost(Runnable action) {
            mClosedAction = action;
            if (mLost) {
                action.run();
            }
        }

        @Override
        public boolean writable() {
            return mLink.writable();
        }

        @Override
        public void onWritable(Runnable action) {
            mLink.run(() -> mLink.onWritable(action));
        }

        @Override
        public synchronized void onMessage(PeerMessage message) {
            if (mListener == null) {
                mEarly.add(message);
            } else {
                mListener.accept(message);
            }
        }

        @Override
        public synchronized void onLost() {
            mLost = true;
            mClosedAction.run();
        }
    }
}
