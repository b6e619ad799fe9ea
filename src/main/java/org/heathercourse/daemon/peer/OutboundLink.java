package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;

/**
 * The link to one peer, opened when it is first used and again after it broke. Safe for use by
 * several threads.
 */
final class OutboundLink {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2000;

    private final Supplier<CompletableFuture<Link>> mConnect;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private CompletableFuture<Link> mCurrent;
    private int mFailures;
    private long mNotBeforeMillis;
    private boolean mClosed;

    OutboundLink(Supplier<CompletableFuture<Link>> connect, Ticker ticker, RandomGenerator random) {
        mConnect = connect;
        mTicker = ticker;
        mRandom = random;
    }

    /** Returns the open link, a link being opened, or a failure while the backoff lasts. */
    CompletableFuture<Link> get() {
        CompletableFuture<Link> opened;
        synchronized (this) {
            if (mClosed) {
                return failed("the network is closed");
            }
            boolean isOpened =
                    mCurrent != null && mCurrent.isDone() && !mCurrent.isCompletedExceptionally();
            Link link = isOpened ? mCurrent.getNow(null) : null;
            if (mCurrent != null && (link == null || link.isOpen())) {
                return mCurrent;
            }
            if (mFailures > 0 && mTicker.readMillis() < mNotBeforeMillis) {
                return failed("the link failed a moment ago and is opened again after a delay");
            }
            opened = mConnect.get();
            mCurrent = opened;
        }
        opened.whenComplete((link, error) -> finished(opened, error));
        return opened;
    }

    private synchronized void finished(CompletableFuture<Link> opened, Throwable error) {
        if (error == null) {
            mFailures = 0;
        } else if (mCurrent == opened) {
            mCurrent = null;
            long limit = FIRST_BACKOFF_MILLIS << Math.min(mFailures++, 10);
            long backoff = Math.min(limit, MAX_BACKOFF_MILLIS);
            // Half of the delay is random so that peers of a restarted daemon spread out.
            mNotBeforeMillis =
                    mTicker.readMillis() + backoff / 2 + mRandom.nextLong(backoff / 2 + 1);
        }
    }

    void close() {
        CompletableFuture<Link> current;
        synchronized (this) {
            mClosed = true;
            current = mCurrent;
        }
        if (current != null) {
            current.thenAccept(Link::close);
        }
    }

    private static CompletableFuture<Link> failed(String message) {
        return CompletableFuture.failedFuture(new PeerException(message, true, null));
    }
}
