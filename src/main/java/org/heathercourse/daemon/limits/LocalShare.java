package org.heathercourse.daemon.limits;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.heathercourse.core.limits.HeldShare;
import org.heathercourse.core.limits.ShareGrant;
import org.heathercourse.core.limits.ShareRenewal;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.Ticker;

/**
 * A {@link HeldShare} that traffic threads and the control thread use together.
 *
 * <p>Safe for use by several threads.
 */
final class LocalShare {
    private final Ticker mTicker;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mArrived = mLock.newCondition();
    private final AtomicBoolean mAskPending = new AtomicBoolean();
    private final HeldShare mShare;
    private int mWaiting;
    private boolean mRetired;

    /** Result of an attempt to take one request out of the share. */
    record Admission(boolean admitted, boolean holdsShare, long retryAfterMillis) {
        static final Admission ADMITTED = new Admission(true, true, 0);
    }

    LocalShare(VmId vm, long incarnation, long afterNumber, Ticker ticker) {
        mTicker = ticker;
        mShare = new HeldShare(vm, incarnation, afterNumber, ticker.readNanos());
    }

    /**
     * Takes one request, waiting for a token if one is likely to arrive in time.
     *
     * @param maxWaitMillis longest time to wait
     * @param requestAsk run if a request to the grantor is due and none is scheduled yet
     */
    Admission acquire(long maxWaitMillis, Runnable requestAsk) {
        mLock.lock();
        try {
            boolean admitted = mShare.tryAcquire(mTicker.readNanos());
            long rest = TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
            boolean wait =
                    !admitted
                            && rest > 0
                            && mShare.shouldWaitForToken(mTicker.readNanos(), mWaiting, rest);
            mWaiting += wait ? 1 : 0;
            if (mShare.renewalDue(mTicker.readNanos(), mWaiting)
                    && mAskPending.compareAndSet(false, true)) {
                requestAsk.run();
            }
            return wait ? await(rest) : admitted ? Admission.ADMITTED : refusal();
        } finally {
            mLock.unlock();
        }
    }

    private Admission await(long maxWaitNanos) {
        long rest = maxWaitNanos;
        try {
            while (rest > 0) {
                long now = mTicker.readNanos();
                long step = Math.min(rest, Math.max(1_000, mShare.nanosUntilToken(now)));
                rest -= step - Math.max(0, mArrived.awaitNanos(step));
                if (mShare.retryAcquire(mTicker.readNanos())) {
                    return Admission.ADMITTED;
                }
            }
            return refusal();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return refusal();
        } finally {
            mWaiting--;
        }
    }

    private Admission refusal() {
        long now = mTicker.readNanos();
        long retryAfter = TimeUnit.NANOSECONDS.toMillis(mShare.retryAfterNanos(now)) + 1;
        return new Admission(false, mShare.holdsShare(now), retryAfter);
    }

    Optional<ShareRenewal> askIfDue() {
        mLock.lock();
        try {
            mAskPending.set(false);
            long now = mTicker.readNanos();
            return !mRetired && mShare.renewalDue(now, mWaiting)
                    ? Optional.of(mShare.createRenewal(now, mWaiting))
                    : Optional.empty();
        } finally {
            mLock.unlock();
        }
    }

    void clearAskPending() {
        mAskPending.set(false);
    }

    void onGrant(long number, ShareGrant grant) {
        mLock.lock();
        try {
            if (!mRetired) {
                mShare.onGrant(number, grant, mTicker.readNanos());
            }
            mArrived.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    void onFailure(long number) {
        mLock.lock();
        try {
            mShare.onFailure(number);
        } finally {
            mLock.unlock();
        }
    }

    /** Gives the share up if it is not in use; returns whether it did. */
    boolean retireIfUnused() {
        mLock.lock();
        try {
            mRetired |= mWaiting == 0 && mShare.isRemovable(mTicker.readNanos());
            return mRetired;
        } finally {
            mLock.unlock();
        }
    }

    /** Gives the share up. Replies under way are not adopted, so their tokens stay central. */
    void retire() {
        mLock.lock();
        try {
            mRetired = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the share has been given up; the limiter then makes a new one. */
    boolean retired() {
        mLock.lock();
        try {
            return mRetired;
        } finally {
            mLock.unlock();
        }
    }
}
