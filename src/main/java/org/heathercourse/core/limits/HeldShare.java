package org.heathercourse.core.limits;

import java.util.OptionalLong;
import org.heathercourse.core.model.VmId;

/**
 * Holder side of one workspace: the share of the workspace's rate that this daemon uses.
 *
 * <p>A share is valid for the granted time, counted from the time at which the request was sent. An
 * increase takes effect when the reply arrives. A decrease takes effect when the next request,
 * which reports it, is sent, so that no fill is lost in between. Only the reply to the latest
 * request is adopted, because the grantor assumes that a holder never adopts a reply that its next
 * request does not report.
 *
 * <p>Not safe for use by several threads.
 */
public class HeldShare {
    /** Time between renewals while there is demand and there are enough tokens. */
    static final long RENEWAL_PERIOD_NANOS = 1_000_000_000L;

    /** Minimum time between renewals, which limits them to 10 per second. */
    static final long MIN_RENEWAL_INTERVAL_NANOS = 100_000_000L;

    /** Time without a reply after which the next renewal may be sent. */
    static final long REPLY_TIMEOUT_NANOS = 500_000_000L;

    /** Time without demand after which a holder drops its share and sends no more renewals. */
    static final long IDLE_NANOS = 30_000_000_000L;

    /** Demand, in seconds, that the tokens must cover; fewer tokens trigger an early renewal. */
    private static final double LOW_TOKENS_DEMAND_SECONDS = 0.15;

    /** Change of demand, relative to the smaller value, that triggers an early renewal. */
    private static final double DEMAND_CHANGE_RATIO = 0.3;

    /** Ratio of new to current share below which a decrease triggers an early renewal. */
    private static final double EARLY_REPORT_RATIO = 0.9;

    /** Maximum number of requests that wait for the first share. */
    private static final int MAX_WAITING_REQUESTS = 64;

    /**
     * Time during which a grantor that had no tokens for waiting requests is taken to have none.
     */
    private static final long EMPTY_GRANTOR_RETRY_NANOS = 150_000_000L;

    /**
     * Demand, in seconds, that may wait for tokens of the grantor: the minimum renewal interval.
     */
    private static final double WAITING_DEMAND_SECONDS = 0.1;

    private final VmId mVm;
    private final long mIncarnation;
    private final DemandMeter mDemand;
    private final TokenBucket mBucket;
    private long mSequence;
    private long mFence;
    private long mSeenFence;
    private boolean mReportRequested;
    private double mReturnedTokens;
    private long mValidUntilNanos;
    private ShareGrant mUnreportedGrant;
    private long mLastNumber;
    private boolean mAwaitingReply;
    private boolean mRenewalSent;
    private long mSentNanos;
    private int mReportedWaiting;
    private boolean mGrantorEmpty;
    private double mReportedDemand;
    private long mLastDemandNanos;

    /**
     * Creates a holder without a share.
     *
     * @param vm VM of this daemon
     * @param incarnation incarnation of this daemon
     * @param nowNanos current ticker time
     */
    public HeldShare(VmId vm, long incarnation, long nowNanos) {
        this(vm, incarnation, 0, nowNanos);
    }

    /**
     * Creates a holder that replaces an earlier one of the same process.
     *
     * @param vm VM of this daemon
     * @param incarnation incarnation of this daemon
     * @param afterNumber number greater than all request numbers of earlier holders of this
     *     process; the grantor ignores requests with lower numbers as outdated
     * @param nowNanos current ticker time
     */
    public HeldShare(VmId vm, long incarnation, long afterNumber, long nowNanos) {
        mLastNumber = afterNumber;
        mVm = vm;
        mIncarnation = incarnation;
        mDemand = new DemandMeter(nowNanos);
        mBucket = new TokenBucket(0, 0, 0, nowNanos);
        mValidUntilNanos = nowNanos;
        mLastDemandNanos = nowNanos;
    }

    /**
     * Acquires one token and counts the request as demand in either case.
     *
     * @param nowNanos current ticker time
     * @return whether a token was available
     */
    public boolean tryAcquire(long nowNanos) {
        countDemand(nowNanos);
        return retryAcquire(nowNanos);
    }

    /**
     * Acquires one token for a request that was already counted as demand.
     *
     * @param nowNanos current ticker time
     * @return whether a token was available
     */
    public boolean retryAcquire(long nowNanos) {
        expire(nowNanos);
        return mBucket.tryAcquire(1, nowNanos);
    }

    private void countDemand(long nowNanos) {
        mDemand.record(nowNanos);
        mLastDemandNanos = nowNanos;
    }

    /**
     * Returns whether a request for which no token was available should wait for one.
     *
     * @param nowNanos current ticker time
     * @param waiting number of requests that already wait
     * @param maxWaitNanos maximum time to wait, in nanoseconds
     * @return true if there is no share yet, if the fill of the share provides a token in time, or
     *     if the grantor may have tokens and few requests wait
     */
    public boolean shouldWaitForToken(long nowNanos, int waiting, long maxWaitNanos) {
        expire(nowNanos);
        if (mSequence == 0) {
            return waiting < MAX_WAITING_REQUESTS;
        }
        mBucket.fill(nowNanos);
        double availableTokens = mBucket.tokens() + mBucket.ratePerSecond() * maxWaitNanos / 1e9;
        if (availableTokens >= 1 + waiting) {
            return true;
        }
        boolean grantorEmpty = mGrantorEmpty && nowNanos - mSentNanos < EMPTY_GRANTOR_RETRY_NANOS;
        return !grantorEmpty && waiting < 2 + mDemand.perSecond(nowNanos) * WAITING_DEMAND_SECONDS;
    }

    /**
     * Returns whether a renewal should be sent to the grantor now.
     *
     * @param nowNanos current ticker time
     * @param waiting number of requests that wait here for a token
     */
    public boolean renewalDue(long nowNanos, int waiting) {
        expire(nowNanos);
        if (mReportRequested) {
            return true;
        }
        long sinceSentNanos = nowNanos - mSentNanos;
        if (mRenewalSent
                && sinceSentNanos
                        < (mAwaitingReply ? REPLY_TIMEOUT_NANOS : MIN_RENEWAL_INTERVAL_NANOS)) {
            return false;
        }
        if (isIdle(nowNanos)) {
            return mSequence != 0;
        }
        if (!mRenewalSent || mAwaitingReply || mSequence == 0) {
            return true;
        }
        double demand = mDemand.perSecond(nowNanos);
        if (sinceSentNanos >= RENEWAL_PERIOD_NANOS || demandChanged(demand) || needsEarlyReport()) {
            return true;
        }
        if (waiting > 0) {
            return true;
        }
        mBucket.fill(nowNanos);
        return mBucket.ratePerSecond() > 0
                && mBucket.tokens() < 1 + demand * LOW_TOKENS_DEMAND_SECONDS
                && nowNanos - mLastDemandNanos < RENEWAL_PERIOD_NANOS;
    }

    /** Returns whether demand differs from the reported demand by more than random variation. */
    private boolean demandChanged(double demand) {
        double smallerDemand = Math.min(demand, mReportedDemand);
        return Math.abs(demand - mReportedDemand) > 2 + smallerDemand * DEMAND_CHANGE_RATIO;
    }

    /** Returns whether the grantor needs a report before it can grant tokens or rate to others. */
    private boolean needsEarlyReport() {
        if (mBucket.ratePerSecond() == 0 && mBucket.capacity() >= 1 && mBucket.tokens() < 1) {
            // Without fill, only other holders can use the capacity of spent tokens.
            return true;
        }
        return mUnreportedGrant != null
                && (mUnreportedGrant.addedTokens() < 0
                        || mUnreportedGrant.ratePerSecond()
                                < mBucket.ratePerSecond() * EARLY_REPORT_RATIO
                        || mUnreportedGrant.capacity() < mBucket.capacity() * EARLY_REPORT_RATIO);
    }

    /**
     * Creates the next renewal and records it as sent. A decrease from an earlier reply takes
     * effect here.
     *
     * @param nowNanos current ticker time
     * @param waiting number of requests that wait here for a token
     * @return the renewal
     */
    public ShareRenewal createRenewal(long nowNanos, int waiting) {
        expire(nowNanos);
        boolean finalReport = isIdle(nowNanos);
        if (finalReport) {
            dropShare(nowNanos);
        }
        applyUnreportedGrant(nowNanos);
        mLastNumber++;
        // A holder without demand does not adopt the reply to its final report.
        mAwaitingReply = !finalReport;
        mRenewalSent = true;
        mReportRequested = false;
        mSentNanos = nowNanos;
        mReportedWaiting = waiting;
        mReportedDemand = mDemand.perSecond(nowNanos);
        return new ShareRenewal(
                mVm,
                mIncarnation,
                mLastNumber,
                mReportedDemand,
                mSequence,
                mBucket.ratePerSecond(),
                mBucket.capacity(),
                mBucket.tokens(),
                mReturnedTokens,
                mSequence == 0 ? 0 : (mValidUntilNanos - nowNanos) / 1_000_000L,
                mFence,
                mSeenFence,
                waiting);
    }

    /** Applies the decrease that the renewal being created reports. */
    private void applyUnreportedGrant(long nowNanos) {
        mBucket.fill(nowNanos);
        if (mUnreportedGrant == null) {
            return;
        }
        double excessTokens = Math.max(0, mBucket.tokens() - mUnreportedGrant.capacity());
        double requestedTokens = Math.max(0, -mUnreportedGrant.addedTokens());
        mReturnedTokens = mBucket.acquireUpTo(Math.max(excessTokens, requestedTokens), nowNanos);
        mBucket.reconfigure(
                mUnreportedGrant.ratePerSecond(), mUnreportedGrant.capacity(), nowNanos);
        mUnreportedGrant = null;
    }

    /**
     * Processes the reply to a renewal.
     *
     * @param number number of the renewal to which the reply belongs
     * @param grant the reply
     * @param nowNanos current ticker time
     * @return whether its share was adopted; replies to older renewals are not
     */
    public boolean onGrant(long number, ShareGrant grant, long nowNanos) {
        expire(nowNanos);
        if (!accepts(number, grant)) {
            return false;
        }
        mAwaitingReply = false;
        mSeenFence = grant.grantorFence();
        if (grant.isReportRequest()) {
            mReportRequested = true;
            return false;
        }
        long validUntil = validFrom(mSentNanos, nowNanos) + grant.validMillis() * 1_000_000L;
        if (validUntil - nowNanos <= 0) {
            return false;
        }
        if (grant.grantorFence() != mFence && mSequence != 0) {
            limitToNewGrantor(grant, nowNanos);
        }
        double addedTokens = Math.max(0, grant.addedTokens());
        double capacity = Math.max(mBucket.capacity() + addedTokens, grant.capacity());
        mBucket.reconfigure(
                Math.max(mBucket.ratePerSecond(), grant.ratePerSecond()), capacity, nowNanos);
        mBucket.add(addedTokens, nowNanos);
        mSequence = grant.sequence();
        mFence = grant.grantorFence();
        mReturnedTokens = 0;
        mValidUntilNanos = validUntil;
        mUnreportedGrant = grant;
        mGrantorEmpty = mReportedWaiting > 0 && mBucket.tokens() < 1;
        return true;
    }

    /**
     * Reduces the share of an earlier grantor to the new share at once. If an old report reached
     * the new grantor first, it counts less than this daemon holds, so the excess must not stay in
     * use.
     */
    void limitToNewGrantor(ShareGrant grant, long nowNanos) {
        mBucket.reconfigure(
                Math.min(mBucket.ratePerSecond(), grant.ratePerSecond()),
                Math.min(mBucket.capacity(), grant.capacity()),
                nowNanos);
    }

    /**
     * Returns the ticker time from which the validity of a share counts: when the request was sent.
     */
    long validFrom(long sentNanos, long receivedNanos) {
        return sentNanos;
    }

    /**
     * Returns whether a reply belongs to the latest renewal and is not from an outdated grantor.
     */
    boolean accepts(long number, ShareGrant grant) {
        return mAwaitingReply && number == mLastNumber && grant.grantorFence() >= mSeenFence;
    }

    /**
     * Records that a renewal failed, so that the next one may be sent.
     *
     * @param number number of the renewal; ignored if it is not the latest one
     */
    public void onFailure(long number) {
        if (number == mLastNumber) {
            mAwaitingReply = false;
        }
    }

    private void expire(long nowNanos) {
        if (mSequence != 0 && nowNanos - mValidUntilNanos >= 0) {
            dropShare(nowNanos);
        }
    }

    private void dropShare(long nowNanos) {
        mBucket.reconfigure(0, 0, nowNanos);
        mSequence = 0;
        mReturnedTokens = 0;
        mUnreportedGrant = null;
    }

    private boolean isIdle(long nowNanos) {
        return nowNanos - mLastDemandNanos >= IDLE_NANOS;
    }

    /** Returns whether this holder has neither demand nor a share and can be removed. */
    public boolean isRemovable(long nowNanos) {
        expire(nowNanos);
        return isIdle(nowNanos) && mSequence == 0;
    }

    /** Returns whether a valid share is held. */
    public boolean holdsShare(long nowNanos) {
        expire(nowNanos);
        return mSequence != 0;
    }

    /** Returns whether the latest renewal has no reply yet. */
    public boolean awaitingReply() {
        return mAwaitingReply;
    }

    /**
     * Returns the ticker time in nanoseconds until which the share is valid; empty without a share.
     */
    public OptionalLong validUntilNanos() {
        return mSequence == 0 ? OptionalLong.empty() : OptionalLong.of(mValidUntilNanos);
    }

    /**
     * Returns the time after which a token may be available.
     *
     * @param nowNanos current ticker time
     * @return time in nanoseconds until the fill of the share provides a token, limited to the time
     *     until the next periodic renewal, whose reply may provide one
     */
    public long retryAfterNanos(long nowNanos) {
        expire(nowNanos);
        return Math.min(mBucket.nanosUntil(1, nowNanos), RENEWAL_PERIOD_NANOS);
    }

    /**
     * Returns the time in nanoseconds until the fill of the share provides a token; {@link
     * Long#MAX_VALUE} if it never does.
     */
    public long nanosUntilToken(long nowNanos) {
        expire(nowNanos);
        return mBucket.nanosUntil(1, nowNanos);
    }

    /** Returns the fill rate in use, in tokens per second. */
    public double ratePerSecond() {
        return mBucket.ratePerSecond();
    }

    /** Returns the capacity in use, in tokens. */
    public double capacity() {
        return mBucket.capacity();
    }

    /** Returns the tokens available now. */
    public double tokens(long nowNanos) {
        expire(nowNanos);
        mBucket.fill(nowNanos);
        return mBucket.tokens();
    }
}
