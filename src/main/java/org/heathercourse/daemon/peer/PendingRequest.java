package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A request without a reply yet. Thread-safe. */
final class PendingRequest implements Link.Conversation {
    private final CompletableFuture<PeerMessage> mReply;
    private final PeerMessage mMessage;
    private final long mTimeoutMillis;
    private volatile boolean mSent;
    private volatile Link mLink;
    private volatile long mReceivedFramesBefore;

    PendingRequest(CompletableFuture<PeerMessage> reply, PeerMessage message, long timeoutMillis) {
        mReply = reply;
        mMessage = message;
        mTimeoutMillis = timeoutMillis;
    }

    void start(OutboundLink outbound) {
        CompletableFuture.delayedExecutor(mTimeoutMillis, TimeUnit.MILLISECONDS)
                .execute(
                        () -> {
                            if (!mReply.isDone()) {
                                fail("no reply within " + mTimeoutMillis + " ms", null);
                                closeUnresponsiveLink();
                            }
                        });
        outbound.get()
                .whenComplete(
                        (link, error) -> {
                            if (error != null) {
                                fail("the link could not be opened: " + error.getMessage(), error);
                            } else {
                                link.runOnEventLoop(() -> send(link));
                            }
                        });
    }

    private void send(Link link) {
        synchronized (this) {
            if (mReply.isDone()) {
                return;
            }
            long id = link.writable() ? link.openConversation(this) : 0;
            if (id == 0) {
                fail("the link is closed or overloaded", null);
                return;
            }
            mSent = true;
            mReceivedFramesBefore = link.receivedFrames();
            mLink = link;
            mReply.whenComplete((m, e) -> link.runOnEventLoop(() -> link.removeConversation(id)));
            link.write(Frame.forMessage(Frame.REQUEST, id, mMessage));
        }
    }

    private void closeUnresponsiveLink() {
        Link link = mLink;
        if (link != null) {
            link.runOnEventLoop(() -> link.closeIfNoFrameSince(mReceivedFramesBefore));
        }
    }

    private synchronized void fail(String message, Throwable cause) {
        mReply.completeExceptionally(new PeerException(message, !mSent, cause));
    }

    @Override
    public void onMessage(PeerMessage message) {
        mReply.complete(message);
    }

    @Override
    public void onLost() {
        fail("the link broke before the reply", null);
    }
}
