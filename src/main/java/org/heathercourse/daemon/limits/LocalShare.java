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
 * Thread-safe wrapper of a {@link HeldShare}, used by admitting threads and the control thread.
 *
 * <p>Created at the first request of a workspace. A retired share accepts no grants; the limiter
 * replaces it.
 */
final class LocalShare {
    private final Ticker mTicker;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mShareChanged = mLock.newCondition();
    private final AtomicBoolean mRenewalScheduled = new AtomicBoolean();
    private final HeldShare mHeldShare;
    private int mWaitingCount;
    private boolean mRetired;

    /**
     * Result of an attempt to admit one request.
     *
     * @param admitted whether the request is admitted
     * @param holdsShare whether this daemon holds a share at present
     * @param retryAfterMillis time after which a retry may succeed, in milliseconds
     */
    record Admission(boolean admitted, boolean holdsShare, long retryAfterMillis) {
        static final Admission ADMITTED = new Admission(true, true, 0);
    }

    LocalShare(VmId vm, long incarnation, long lastRenewalNumber, Ticker ticker) {
        mTicker = ticker;
        mHeldShare = new HeldShare(vm, incarnation, lastRenewalNumber, ticker.readNanos());
    }

    /**
     * Admits one request if a token is available, or waits if one is likely to arrive in time.
     *
     * @param maxWaitMillis maximum time to wait, in milliseconds
     * @param scheduleRenewal action that is run if a renewal is due and none is scheduled yet
     */
    Admission acquire(long maxWaitMillis, Runnable scheduleRenewal) {
        mLock.lock();
        try {
            boolean admitted = mHeldShare.tryAcquire(mTicker.readNanos());
            long maxWaitNanos = TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
            boolean shouldWait =
                    !admitted
                            && maxWaitNanos > 0
                            && mHeldShare.shouldWaitForToken(
                                    mTicker.readNanos(), mWaitingCount, maxWaitNanos);
            mWaitingCount += shouldWait ? 1 : 0;
            if (mHeldShare.renewalDue(mTicker.readNanos(), mWaitingCount)
                    && mRenewalScheduled.compareAndSet(false, true)) {
                scheduleRenewal.run();
            }
            return shouldWait
                    ? awaitToken(maxWaitNanos)
                    : admitted ? Admission.ADMITTED : rejection();
        } finally {
            mLock.unlock();
        }
    }

    private Admission awaitToken(long maxWaitNanos) {
        long remainingNanos = maxWaitNanos;
        try {
            while (remainingNanos > 0) {
                long nowNanos = mTicker.readNanos();
                long waitNanos =
                        Math.min(
                                remainingNanos,
                                Math.max(1_000, mHeldShare.nanosUntilToken(nowNanos)));
                remainingNanos -= waitNanos - Math.max(0, mShareChanged.awaitNanos(waitNanos));
                if (mHeldShare.retryAcquire(mTicker.readNanos())) {
                    return Admission.ADMITTED;
                }
            }
            return rejection();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return rejection();
        } finally {
            mWaitingCount--;
        }
    }

    private Admission rejection() {
        long nowNanos = mTicker.readNanos();
        long retryAfterMillis =
                TimeUnit.NANOSECONDS.toMillis(mHeldShare.retryAfterNanos(nowNanos)) + 1;
        return new Admission(false, mHeldShare.holdsShare(nowNanos), retryAfterMillis);
    }

    /** Returns the next renewal for the grantor, or empty if none is due. */
    Optional<ShareRenewal> nextRenewalIfDue() {
        mLock.lock();
        try {
            mRenewalScheduled.set(false);
            long nowNanos = mTicker.readNanos();
            return !mRetired && mHeldShare.renewalDue(nowNanos, mWaitingCount)
                    ? Optional.of(mHeldShare.createRenewal(nowNanos, mWaitingCount))
                    : Optional.empty();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Clears the mark of a scheduled renewal that is not sent, so that another one can be
     * scheduled.
     */
    void clearRenewalScheduled() {
        mRenewalScheduled.set(false);
    }

    /** Adopts the reply to a renewal, unless the share is retired, and wakes up waiting threads. */
    void onGrant(long renewalNumber, ShareGrant grant) {
        mLock.lock();
        try {
            if (!mRetired) {
                mHeldShare.onGrant(renewalNumber, grant, mTicker.readNanos());
            }
            mShareChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Reports a renewal without a reply. */
    void onRenewalFailed(long renewalNumber) {
        mLock.lock();
        try {
            mHeldShare.onFailure(renewalNumber);
        } finally {
            mLock.unlock();
        }
    }

    /** Retires the share if it is not in use; returns whether it is retired. */
    boolean retireIfUnused() {
        mLock.lock();
        try {
            mRetired |= mWaitingCount == 0 && mHeldShare.isRemovable(mTicker.readNanos());
            return mRetired;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Retires the share. Replies that arrive later are ignored, so their tokens stay with the
     * grantor.
     */
    void retire() {
        mLock.lock();
        try {
            mRetired = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the share is retired; the limiter then creates a new one. */
    boolean isRetired() {
        mLock.lock();
        try {
            return mRetired;
        } finally {
            mLock.unlock();
        }
    }
}
