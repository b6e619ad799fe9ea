package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;

/**
 * The link to one peer, which is opened on first use and reopened with backoff after it broke.
 * Thread-safe.
 */
final class OutboundLink {
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2000;

    private final Supplier<CompletableFuture<Link>> mConnect;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private CompletableFuture<Link> mCurrentLink;
    private int mFailures;
    private long mNextAttemptMillis;
    private boolean mClosed;

    OutboundLink(Supplier<CompletableFuture<Link>> connect, Ticker ticker, RandomGenerator random) {
        mConnect = connect;
        mTicker = ticker;
        mRandom = random;
    }

    /** Returns the open link or one being opened; fails during the backoff and after close. */
    CompletableFuture<Link> get() {
        CompletableFuture<Link> opened;
        synchronized (this) {
            if (mClosed) {
                return failed("the network is closed");
            }
            boolean isOpened =
                    mCurrentLink != null
                            && mCurrentLink.isDone()
                            && !mCurrentLink.isCompletedExceptionally();
            Link link = isOpened ? mCurrentLink.getNow(null) : null;
            if (mCurrentLink != null && (link == null || link.isOpen())) {
                return mCurrentLink;
            }
            if (mFailures > 0 && mTicker.readMillis() < mNextAttemptMillis) {
                return failed(
                        "the last attempt to open the link failed; the backoff has not ended");
            }
            opened = mConnect.get();
            mCurrentLink = opened;
        }
        opened.whenComplete((link, error) -> onConnectFinished(opened, error));
        return opened;
    }

    private synchronized void onConnectFinished(CompletableFuture<Link> opened, Throwable error) {
        if (error == null) {
            mFailures = 0;
        } else if (mCurrentLink == opened) {
            mCurrentLink = null;
            long maxDelayMillis = MIN_BACKOFF_MILLIS << Math.min(mFailures++, 10);
            long backoffMillis = Math.min(maxDelayMillis, MAX_BACKOFF_MILLIS);
            // Half of the delay is random, so that the peers of a restarted daemon do not reconnect
            // all at once.
            mNextAttemptMillis =
                    mTicker.readMillis()
                            + backoffMillis / 2
                            + mRandom.nextLong(backoffMillis / 2 + 1);
        }
    }

    void close() {
        CompletableFuture<Link> current;
        synchronized (this) {
            mClosed = true;
            current = mCurrentLink;
        }
        if (current != null) {
            current.thenAccept(Link::close);
        }
    }

    private static CompletableFuture<Link> failed(String message) {
        return CompletableFuture.failedFuture(new PeerException(message, true, null));
    }
}
