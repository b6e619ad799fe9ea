package org.heathercourse.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;

/** The opening side of a call. Safe for use by several threads. */
final class OutboundCall implements PeerNetwork.CallStream, Link.Conversation {
    private final Consumer<PeerException> mLinkLost;
    private final List<PeerMessage> mWaiting = new ArrayList<>();
    private volatile Consumer<PeerMessage> mListener;
    private Runnable mClosedAction = () -> {};
    private Link mLink;
    private long mId;
    private boolean mEnded;

    OutboundCall(Consumer<PeerMessage> listener, Consumer<PeerException> linkLost) {
        mListener = listener;
        mLinkLost = linkLost;
    }

    void start(OutboundLink outbound, CallStart start) {
        outbound.get()
                .whenComplete(
                        (link, error) -> {
                            if (error != null) {
                                lost("the link could not be opened: " + error.getMessage(), true);
                            } else {
                                link.run(() -> begin(link, start));
                            }
                        });
    }

    private void begin(Link link, CallStart start) {
        long id = link.open(this);
        if (id == 0) {
            lost("the link is closed or overloaded", true);
            return;
        }
        List<PeerMessage> messages = new ArrayList<>(Link.split(start));
        synchronized (this) {
            mLink = link;
            mId = id;
            messages.addAll(mWaiting);
            mWaiting.clear();
        }
        String kind = Frame.CALL;
        for (PeerMessage message : messages) {
            link.write(Frame.of(kind, id, message));
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
                mWaiting.addAll(Link.split(message));
                return;
            }
            link = mLink;
        }
        link.run(
                () -> {
                    for (PeerMessage part : Link.split(message)) {
                        link.write(Frame.of(Frame.MESSAGE, mId, part));
                    }
                });
    }

    @Override
    public void onMessage(Consumer<PeerMessage> listener) {
        mListener = listener;
    }

    @Override
    public synchronized void onLinkLost(Runnable action) {
        mClosedAction = action;
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
            link.run(() -> link.onWritable(action));
        }
    }

    @Override
    public void onMessage(PeerMessage message) {
        if (Link.isLast(message)) {
            Link link;
            synchronized (this) {
                mEnded = true;
                link = mLink;
            }
            link.end(mId);
        }
        mListener.accept(message);
    }

    @Override
    public void onLost() {
        lost("the link broke during the call", false);
    }

    private void lost(String message, boolean notSent) {
        Runnable action;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            action = mClosedAction;
        }
        mLinkLost.accept(new PeerException(message, notSent, null));
        action.run();
    }
}
