package org.heathercourse.daemon.peer;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** A request without a reply yet. Thread-safe. */
final class PendingRequest implements Link.Conversation {
    private final CompletableFuture<PeerMessage> mReply;
    private final PeerMessage mMessage;
    private final long mTimeoutMillis;
    private volatile boolean mSent;
    private Link mLink;
    private long mReceivedFramesBefore;

    PendingRequest(CompletableFuture<PeerMessage> reply, PeerMessage message, long timeoutMillis) {
        mReply = reply;
        mMessage = message;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Sends the request as soon as the link is open.
     *
     * @param outbound link to the peer
     * @param timer event loop that runs the timeout
     */
    void start(OutboundLink outbound, EventExecutor timer) {
        startTimeout(timer);
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

    private void startTimeout(EventExecutor timer) {
        try {
            Future<?> timeout =
                    timer.schedule(this::onTimeout, mTimeoutMillis, TimeUnit.MILLISECONDS);
            mReply.whenComplete((reply, error) -> timeout.cancel(false));
        } catch (RejectedExecutionException e) {
            fail("the network is closed", e);
        }
    }

    private void onTimeout() {
        Link link;
        synchronized (this) {
            link = mLink;
            if (link == null) {
                fail(timeoutMessage(), null);
            }
        }
        if (link != null) {
            link.runOnEventLoop(() -> failAndCloseUnresponsive(link));
        }
    }

    /**
     * Fails the request. An unresponsive link is closed first: a call that its sender opens because
     * of the failure must not get that link, on which nothing arrives.
     */
    private void failAndCloseUnresponsive(Link link) {
        if (!mReply.isDone()) {
            link.closeIfNoFrameSince(mReceivedFramesBefore);
            fail(timeoutMessage(), null);
        }
    }

    private String timeoutMessage() {
        return "no reply within " + mTimeoutMillis + " ms";
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
