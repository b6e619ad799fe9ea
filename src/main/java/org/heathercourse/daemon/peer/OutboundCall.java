package org.heathercourse.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;

/** The opening side of a call; messages are queued until the link is open. Thread-safe. */
final class OutboundCall implements PeerNetwork.CallStream, Link.Conversation {
    private final Consumer<PeerException> mLinkLostListener;
    private final List<PeerMessage> mUnsent = new ArrayList<>();
    private volatile Consumer<PeerMessage> mListener;
    private Runnable mLinkLostAction = () -> {};
    private Link mLink;
    private long mId;
    private boolean mEnded;

    OutboundCall(Consumer<PeerMessage> listener, Consumer<PeerException> linkLostListener) {
        mListener = listener;
        mLinkLostListener = linkLostListener;
    }

    void start(OutboundLink outbound, CallStart start) {
        outbound.get()
                .whenComplete(
                        (link, error) -> {
                            if (error != null) {
                                fail("the link could not be opened: " + error.getMessage(), true);
                            } else {
                                link.runOnEventLoop(() -> sendStart(link, start));
                            }
                        });
    }

    private void sendStart(Link link, CallStart start) {
        long id = link.openConversation(this);
        if (id == 0) {
            fail("the link is closed or overloaded", true);
            return;
        }
        List<PeerMessage> messages = new ArrayList<>(Link.splitIntoParts(start));
        synchronized (this) {
            mLink = link;
            mId = id;
            messages.addAll(mUnsent);
            mUnsent.clear();
        }
        String kind = Frame.CALL;
        for (PeerMessage message : messages) {
            link.write(Frame.forMessage(kind, id, message));
            kind = Frame.MESSAGE;
        }
    }

    @Override
    public void send(PeerMessage message) {
        Link link;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            if (mLink == null) {
                mUnsent.addAll(Link.splitIntoParts(message));
                return;
            }
            link = mLink;
        }
        link.runOnEventLoop(
                () -> {
                    for (PeerMessage part : Link.splitIntoParts(message)) {
                        link.write(Frame.forMessage(Frame.MESSAGE, mId, part));
                    }
                });
    }

    @Override
    public void onMessage(Consumer<PeerMessage> listener) {
        mListener = listener;
    }

    @Override
    public synchronized void onLinkLost(Runnable action) {
        mLinkLostAction = action;
    }

    @Override
    public synchronized boolean writable() {
        return mLink == null || mLink.writable();
    }

    @Override
    public void onWritable(Runnable action) {
        Link link;
        synchronized (this) {
            link = mLink;
        }
        if (link == null) {
            action.run();
        } else {
            link.runOnEventLoop(() -> link.onWritable(action));
        }
    }

    @Override
    public void onMessage(PeerMessage message) {
        if (Link.endsCall(message)) {
            Link link;
            synchronized (this) {
                mEnded = true;
                link = mLink;
            }
            link.removeConversation(mId);
        }
        mListener.accept(message);
    }

    @Override
    public void onLost() {
        fail("the link broke during the call", false);
    }

    private void fail(String message, boolean notSent) {
        Runnable action;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            action = mLinkLostAction;
        }
        mLinkLostListener.accept(new PeerException(message, notSent, null));
        action.run();
    }
}
