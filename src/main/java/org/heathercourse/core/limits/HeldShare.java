package org.heathercourse.core.limits;

import java.util.OptionalLong;
import org.heathercourse.core.model.VmId;

/**
 * Holder side of one workspace: the share of its rate that this daemon uses.
 *
 * <p>A share is valid for the granted time counted from the sending of the request whose reply
 * carried it. An increase takes effect when the reply arrives; a decrease takes effect when the
 * next request, which reports it, is sent, so that no fill is lost between the two. Only the reply
 * to the latest request is adopted: the grantor concludes from a request that an earlier reply
 * which it does not report will never be adopted.
 *
 * <p>Not safe for use by several threads.
 */
public class HeldShare {
    /** Time between requests while there is demand and enough tokens. */
    static final long PERIOD_NANOS = 1_000_000_000L;

    /** Least time between requests, which bounds them to 10 per second. */
    static final long MIN_SPACING_NANOS = 100_000_000L;

    /** A request without a reply for this long is given up. */
    static final long REPLY_TIMEOUT_NANOS = 500_000_000L;

    /** A holder without demand for this long drops its share and asks no more. */
    static final long IDLE_NANOS = 30_000_000_000L;

    /** Share of the demand of a second below which tokens count as low. */
    private static final double LOW_TOKENS_SECONDS = 0.15;

    /** Change of demand that is reported early, relative to the smaller value. */
    private static final double MOVED_RATIO = 0.3;

    /** A decrease below this part of the former share is reported early. */
    private static final double REPORT_RATIO = 0.9;

    /** Requests that may wait for a first share. */
    private static final int MAX_WAITING = 64;

    /** Time after which a grantor without tokens is asked again for a request that waits. */
    private static final long DRY_NANOS = 150_000_000L;

    /** Demand that may wait for tokens of the grantor, in seconds: the time between requests. */
    private static final double WAITING_SECONDS = 0.1;

    private final VmId mVm;
    private final long mIncarnation;
    private final DemandMeter mDemand;
    private final TokenBucket mBucket;
    private long mSequence;
    private long mFence;
    private long mSeenFence;
    private boolean mReportNow;
    private double mReturned;
    private long mValidUntilNanos;
    private ShareGrant mUnreported;
    private long mNumber;
    private boolean mAwaiting;
    private boolean mEverAsked;
    private long mAskedNanos;
    private int mAskedWaiting;
    private boolean mDry;
    private double mReportedDemand;
    private long mLastDemandNanos;

    /**
     * Creates a holder without a share.
     *
     * @param vm this daemon
     * @param incarnation its incarnation
     * @param nowNanos present reading of the ticker
     */
    public HeldShare(VmId vm, long incarnation, long nowNanos) {
        this(vm, incarnation, 0, nowNanos);
    }

    /**
     * Creates a holder that follows an earlier one of the same process.
     *
     * @param vm this daemon
     * @param incarnation its incarnation
     * @param afterNumber number that all requests of earlier holders of this process are below; the
     *     grantor takes lower numbers for overtaken requests
     * @param nowNanos present reading of the ticker
     */
    public HeldShare(VmId vm, long incarnation, long afterNumber, long nowNanos) {
        mNumber = afterNumber;
        mVm = vm;
        mIncarnation = incarnation;
        mDemand = new DemandMeter(nowNanos);
        mBucket = new TokenBucket(0, 0, 0, nowNanos);
        mValidUntilNanos = nowNanos;
        mLastDemandNanos = nowNanos;
    }

    /** Takes one token; returns whether there was one. Counts as demand either way. */
    public boolean tryAcquire(long nowNanos) {
        countDemand(nowNanos);
        return retryAcquire(nowNanos);
    }

    /** Takes one token for a request that was counted as demand before. */
    public boolean retryAcquire(long nowNanos) {
        expire(nowNanos);
        return mBucket.tryAcquire(1, nowNanos);
    }

    private void countDemand(long nowNanos) {
        mDemand.record(nowNanos);
        mLastDemandNanos = nowNanos;
    }

    /**
     * Returns whether a request that found no token should wait for one.
     *
     * @param nowNanos present reading of the ticker
     * @param waiting requests that wait already
     * @param maxWaitNanos longest time to wait
     * @return true if there is no share yet, if the share's own fill suffices in time, or if the
     *     grantor may have tokens and few requests wait
     */
    public boolean shouldWaitForToken(long nowNanos, int waiting, long maxWaitNanos) {
        expire(nowNanos);
        if (mSequence == 0) {
            return waiting < MAX_WAITING;
        }
        mBucket.fill(nowNanos);
        double filled = mBucket.tokens() + mBucket.ratePerSecond() * maxWaitNanos / 1e9;
        if (filled >= 1 + waiting) {
            return true;
        }
        boolean dry = mDry && nowNanos - mAskedNanos < DRY_NANOS;
        return !dry && waiting < 2 + mDemand.perSecond(nowNanos) * WAITING_SECONDS;
    }

    /**
     * Returns whether a request to the grantor is due.
     *
     * @param nowNanos present reading of the ticker
     * @param waiting requests that wait here for a token
     */
    public boolean renewalDue(long nowNanos, int waiting) {
        expire(nowNanos);
        if (mReportNow) {
            return true;
        }
        long sinceAsk = nowNanos - mAskedNanos;
        if (mEverAsked && sinceAsk < (mAwaiting ? REPLY_TIMEOUT_NANOS : MIN_SPACING_NANOS)) {
            return false;
        }
        if (idle(nowNanos)) {
            return mSequence != 0;
        }
        if (!mEverAsked || mAwaiting || mSequence == 0) {
            return true;
        }
        double demand = mDemand.perSecond(nowNanos);
        if (sinceAsk >= PERIOD_NANOS || demandMoved(demand) || owesReport()) {
            return true;
        }
        if (waiting > 0) {
            return true;
        }
        mBucket.fill(nowNanos);
        return mBucket.ratePerSecond() > 0
                && mBucket.tokens() < 1 + demand * LOW_TOKENS_SECONDS
                && nowNanos - mLastDemandNanos < PERIOD_NANOS;
    }

    /** Returns whether demand differs from the reported one by more than random variation. */
    private boolean demandMoved(double demand) {
        double least = Math.min(demand, mReportedDemand);
        return Math.abs(demand - mReportedDemand) > 2 + least * MOVED_RATIO;
    }

    /** Returns whether the grantor waits for a report before it can give tokens or rate on. */
    private boolean owesReport() {
        if (mBucket.ratePerSecond() == 0 && mBucket.capacity() >= 1 && mBucket.tokens() < 1) {
            // Without fill, the capacity of spent tokens is of use to others only.
            return true;
        }
        return mUnreported != null
                && (mUnreported.addedTokens() < 0
                        || mUnreported.ratePerSecond() < mBucket.ratePerSecond() * REPORT_RATIO
                        || mUnreported.capacity() < mBucket.capacity() * REPORT_RATIO);
    }

    /**
     * Creates the next request and counts it as sent. A decrease that an earlier reply brought
     * takes effect here.
     *
     * @param nowNanos present reading of the ticker
     * @param waiting requests that wait here for a token
     * @return the request
     */
    public ShareRenewal createRenewal(long nowNanos, int waiting) {
        expire(nowNanos);
        boolean leaving = idle(nowNanos);
        if (leaving) {
            drop(nowNanos);
        }
        settle(nowNanos);
        mNumber++;
        // A holder that leaves does not adopt the reply to its last report.
        mAwaiting = !leaving;
        mEverAsked = true;
        mReportNow = false;
        mAskedNanos = nowNanos;
        mAskedWaiting = waiting;
        mReportedDemand = mDemand.perSecond(nowNanos);
        return new ShareRenewal(
                mVm,
                mIncarnation,
                mNumber,
                mReportedDemand,
                mSequence,
                mBucket.ratePerSecond(),
                mBucket.capacity(),
                mBucket.tokens(),
                mReturned,
                mSequence == 0 ? 0 : (mValidUntilNanos - nowNanos) / 1_000_000L,
                mFence,
                mSeenFence,
                waiting);
    }

    /** Applies the decrease that the request now being sent reports. */
    private void settle(long nowNanos) {
        mBucket.fill(nowNanos);
        if (mUnreported == null) {
            return;
        }
        double excess = Math.max(0, mBucket.tokens() - mUnreported.capacity());
        double wanted = Math.max(0, -mUnreported.addedTokens());
        mReturned = mBucket.acquireUpTo(Math.max(excess, wanted), nowNanos);
        mBucket.reconfigure(mUnreported.ratePerSecond(), mUnreported.capacity(), nowNanos);
        mUnreported = null;
    }

    /**
     * Adopts a share.
     *
     * @param number number of the request that the reply answers
     * @param grant the reply
     * @param nowNanos present reading of the ticker
     * @return whether it was adopted; replies to older requests are not
     */
    public boolean onGrant(long number, ShareGrant grant, long nowNanos) {
        expire(nowNanos);
        if (!accepts(number, grant)) {
            return false;
        }
        mAwaiting = false;
        mSeenFence = grant.grantorFence();
        if (grant.isReportRequest()) {
            mReportNow = true;
            return false;
        }
        long validUntil = validFrom(mAskedNanos, nowNanos) + grant.validMillis() * 1_000_000L;
        if (validUntil - nowNanos <= 0) {
            return false;
        }
        if (grant.grantorFence() != mFence && mSequence != 0) {
            replaceEarlier(grant, nowNanos);
        }
        double added = Math.max(0, grant.addedTokens());
        double capacity = Math.max(mBucket.capacity() + added, grant.capacity());
        mBucket.reconfigure(
                Math.max(mBucket.ratePerSecond(), grant.ratePerSecond()), capacity, nowNanos);
        mBucket.add(added, nowNanos);
        mSequence = grant.sequence();
        mFence = grant.grantorFence();
        mReturned = 0;
        mValidUntilNanos = validUntil;
        mUnreported = grant;
        mDry = mAskedWaiting > 0 && mBucket.tokens() < 1;
        return true;
    }

    /**
     * Cuts the share of an earlier grantor down to the new one at once. The new grantor may know of
     * less than is held here if an old report reached it first, so the rest must not live on.
     */
    void replaceEarlier(ShareGrant grant, long nowNanos) {
        mBucket.reconfigure(
                Math.min(mBucket.ratePerSecond(), grant.ratePerSecond()),
                Math.min(mBucket.capacity(), grant.capacity()),
                nowNanos);
    }

    /** Returns the reading from which a share is valid: the sending of the request. */
    long validFrom(long askedNanos, long receivedNanos) {
        return askedNanos;
    }

    /** Returns whether a reply answers the latest request and no older grantor sent it. */
    boolean accepts(long number, ShareGrant grant) {
        return mAwaiting && number == mNumber && grant.grantorFence() >= mSeenFence;
    }

    /** Notes that the latest request got no reply, so that the next may be sent. */
    public void onFailure(long number) {
        if (number == mNumber) {
            mAwaiting = false;
        }
    }

    private void expire(long nowNanos) {
        if (mSequence != 0 && nowNanos - mValidUntilNanos >= 0) {
            drop(nowNanos);
        }
    }

    private void drop(long nowNanos) {
        mBucket.reconfigure(0, 0, nowNanos);
        mSequence = 0;
        mReturned = 0;
        mUnreported = null;
    }

    private boolean idle(long nowNanos) {
        return nowNanos - mLastDemandNanos >= IDLE_NANOS;
    }

    /** Returns whether this holder has neither demand nor a share and may be forgotten. */
    public boolean isRemovable(long nowNanos) {
        expire(nowNanos);
        return idle(nowNanos) && mSequence == 0;
    }

    /** Returns whether a valid share is held. */
    public boolean holdsShare(long nowNanos) {
        expire(nowNanos);
        return mSequence != 0;
    }

    /** Returns whether a request to the grantor is under way. */
    public boolean awaitingReply() {
        return mAwaiting;
    }

    /** Returns the reading until which the share is valid, or empty if there is none. */
    public OptionalLong validUntilNanos() {
        return mSequence == 0 ? OptionalLong.empty() : OptionalLong.of(mValidUntilNanos);
    }

    /**
     * Returns the time after which a token may be there.
     *
     * @param nowNanos present reading of the ticker
     * @return time in nanoseconds: until the share's own fill provides a token, but no longer than
     *     until the reply to the next periodic request can have brought one
     */
    public long retryAfterNanos(long nowNanos) {
        expire(nowNanos);
        return Math.min(mBucket.nanosUntil(1, nowNanos), PERIOD_NANOS);
    }

    /** Returns the time until the share's own fill provides a token; MAX_VALUE if it does not. */
    public long nanosUntilToken(long nowNanos) {
        expire(nowNanos);
        return mBucket.nanosUntil(1, nowNanos);
    }

    /** Returns the fill rate in use. */
    public double ratePerSecond() {
        return mBucket.ratePerSecond();
    }

    /** Returns the capacity in use. */
    public double capacity() {
        return mBucket.capacity();
    }

    /** Returns the tokens held now. */
    public double tokens(long nowNanos) {
        expire(nowNanos);
        mBucket.fill(nowNanos);
        return mBucket.tokens();
    }
}
