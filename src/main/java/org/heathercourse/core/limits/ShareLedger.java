package org.heathercourse.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.model.VmId;

/**
 * Grantor side of one workspace: divides its rate and burst between a central token bucket and the
 * shares of holders.
 *
 * <p>At any time the fill rates of the central bucket and of all outstanding shares add up to at
 * most the rate, and their capacities add up to at most the burst. Tokens are transferred and never
 * created by a change of shares. The ledger counts a share until {@link #VALID_NANOS} after the
 * last request of its holder. It counts an increase when it sends the reply, and a decrease when
 * the holder reports it with its next request.
 *
 * <p>Not safe for use by several threads.
 */
public class ShareLedger {
    /** Validity of a share in milliseconds, counted from the time at which the request was sent. */
    public static final long VALID_MILLIS = 10_000;

    /** Time in nanoseconds after the last request of a holder during which its share is counted. */
    static final long VALID_NANOS = VALID_MILLIS * 1_000_000L;

    /** Fencing number of the first owner. No earlier grantor can have issued shares. */
    static final long FIRST_FENCE = 1;

    /** Tolerance for rounding errors in sums of doubles. */
    private static final double ROUNDING = 1e-9;

    private final long mFence;
    private final long mTakeoverNanos;
    private final Map<HolderKey, ShareEntry> mEntries = new LinkedHashMap<>();
    private final TokenBucket mCentral;
    private final SharePolicy mPolicy;
    private double mRate;
    private double mBurst;
    private boolean mSettling;

    /**
     * Fill rate that holders unknown to this grantor may use until shares of earlier ones expire.
     */
    private double mUnknownRate;

    /**
     * Capacity that holders unknown to this grantor may use until shares of earlier ones expire.
     */
    private double mUnknownBurst;

    private long mNextSequence = 1;

    /** Identifies a holder: one process on a VM. */
    record HolderKey(VmId vm, long incarnation) {}

    /**
     * Creates the ledger of a new grantor.
     *
     * @param fence fencing number of the grantor
     * @param ratePerSecond rate of the workspace, in tokens per second
     * @param burst burst of the workspace, in tokens
     * @param takeoverNanos ticker time at which this grantor became the owner
     */
    public ShareLedger(long fence, double ratePerSecond, double burst, long takeoverNanos) {
        mFence = fence;
        mTakeoverNanos = takeoverNanos;
        mRate = ratePerSecond;
        mBurst = burst;
        mSettling = fence > FIRST_FENCE && settleNanos() > 0;
        mUnknownRate = mSettling ? ratePerSecond : 0;
        mUnknownBurst = mSettling ? burst : 0;
        mPolicy = new SharePolicy();
        mCentral =
                mSettling
                        ? new TokenBucket(0, 0, 0, takeoverNanos)
                        : new TokenBucket(ratePerSecond, burst, burst, takeoverNanos);
    }

    /**
     * Changes rate and burst. An increase takes effect at once, a decrease as holders report
     * smaller shares.
     *
     * @param ratePerSecond new rate, in tokens per second
     * @param burst new burst, in tokens
     * @param nowNanos current ticker time
     */
    public void reconfigure(double ratePerSecond, double burst, long nowNanos) {
        expire(nowNanos);
        if (mSettling) {
            // An earlier grantor may already have granted the increase.
            mUnknownRate += Math.max(0, ratePerSecond - mRate);
            mUnknownBurst += Math.max(0, burst - mBurst);
        }
        mRate = ratePerSecond;
        mBurst = burst;
        reconfigureCentral(nowNanos);
    }

    /**
     * Processes a holder's request.
     *
     * @param renewal the request
     * @param nowNanos current ticker time
     * @return the reply; empty if the request is malformed or older than one already received from
     *     the same holder
     */
    public Optional<ShareGrant> onRenewal(ShareRenewal renewal, long nowNanos) {
        if (!renewal.isWellFormed()) {
            return Optional.empty();
        }
        expire(nowNanos);
        if (mSettling && !isUpToDate(renewal)) {
            return Optional.of(ShareGrant.reportRequest(mFence));
        }
        HolderKey key = new HolderKey(renewal.holder(), renewal.holderIncarnation());
        ShareEntry entry = mEntries.get(key);
        if (entry == null) {
            entry = new ShareEntry();
            mEntries.put(key, entry);
            adoptReportedShare(entry, renewal);
        } else if (isRepeated(entry, renewal)) {
            return Optional.ofNullable(entry.lastGrant);
        } else if (isOutdated(entry, renewal)) {
            return Optional.empty();
        } else {
            resolvePendingGrant(entry, renewal, nowNanos);
        }
        entry.recordRenewal(renewal, nowNanos);
        reconfigureCentral(nowNanos);
        return Optional.of(grant(entry, nowNanos));
    }

    // The following rules keep the sum of all shares within the limits. Tests override each of them
    // and check that the limits are then exceeded.

    /**
     * Returns whether a report was sent after its holder received the fencing number of this
     * grantor. An older report may precede a transfer between holders by an earlier grantor. If it
     * were adopted, one holder's share would be counted twice and another's not at all.
     */
    boolean isUpToDate(ShareRenewal renewal) {
        return renewal.seenFence() >= mFence;
    }

    /** Returns whether this is a duplicate of the last request, which gets the same reply. */
    boolean isRepeated(ShareEntry entry, ShareRenewal renewal) {
        return renewal.number() == entry.lastNumber;
    }

    /**
     * Returns whether a later request of the holder was received before, so this report is
     * outdated.
     */
    boolean isOutdated(ShareEntry entry, ShareRenewal renewal) {
        return renewal.number() < entry.lastNumber;
    }

    /**
     * Counts a share issued by an earlier grantor if it fits in the rate and burst not yet
     * reported.
     */
    private void adoptReportedShare(ShareEntry entry, ShareRenewal renewal) {
        if (!isAdoptable(renewal)) {
            return;
        }
        boolean fits =
                renewal.ratePerSecond() <= mUnknownRate + ROUNDING
                        && renewal.capacity() <= mUnknownBurst + ROUNDING;
        if (fits) {
            entry.rate = renewal.ratePerSecond();
            entry.capacity = renewal.capacity();
            mUnknownRate = Math.max(0, mUnknownRate - entry.rate);
            mUnknownBurst = Math.max(0, mUnknownBurst - entry.capacity);
        }
    }

    /** Returns whether a reported share was issued by an earlier grantor and is still valid. */
    boolean isAdoptable(ShareRenewal renewal) {
        return mSettling
                && renewal.adoptedSequence() != 0
                && renewal.grantorFence() < mFence
                && renewal.remainingMillis() > 0;
    }

    /**
     * Determines from a request whether the holder adopted the last reply. If the request does not
     * report the reply, the holder will never adopt it.
     */
    private void resolvePendingGrant(ShareEntry entry, ShareRenewal renewal, long nowNanos) {
        ShareGrant pending = entry.lastGrant;
        if (pending != null && confirmsAdoption(renewal, pending)) {
            entry.rate = pending.ratePerSecond();
            entry.capacity = pending.capacity();
            entry.pendingTokens = 0;
            entry.lastGrant = null;
            reconfigureCentral(nowNanos);
            mCentral.add(creditedTokens(renewal, entry), nowNanos);
            return;
        }
        double unadoptedTokens = entry.pendingTokens;
        entry.pendingTokens = 0;
        entry.lastGrant = null;
        if (renewal.adoptedSequence() == 0) {
            entry.rate = 0;
            entry.capacity = 0;
        }
        reconfigureCentral(nowNanos);
        mCentral.add(unadoptedTokens, nowNanos);
    }

    /** Returns whether a request reports that the holder adopted a reply of this grantor. */
    boolean confirmsAdoption(ShareRenewal renewal, ShareGrant pending) {
        return renewal.grantorFence() == mFence && renewal.adoptedSequence() == pending.sequence();
    }

    /** Returns the fill rate that a holder may be using. A decrease counts once it is reported. */
    double countedRate(ShareEntry entry) {
        return entry.countedRate();
    }

    /** Returns the capacity that a holder may be using. */
    double countedCapacity(ShareEntry entry) {
        return entry.countedCapacity();
    }

    /**
     * Returns the time in nanoseconds after a takeover during which shares of earlier grantors
     * count.
     */
    long settleNanos() {
        return VALID_NANOS;
    }

    /** Returns the tokens to credit for a report; a holder cannot return more than its capacity. */
    private static double creditedTokens(ShareRenewal renewal, ShareEntry entry) {
        return Math.min(renewal.returnedTokens(), entry.pendingCapacity);
    }

    private ShareGrant grant(ShareEntry entry, long nowNanos) {
        double freeRate = Math.max(0, mRate - outstandingRate());
        double freeCapacity = Math.max(0, mBurst - outstandingCapacity());
        SharePolicy.Allocation allocation =
                mPolicy.allocation(entry, mEntries.values(), mRate, mBurst, mCentral.tokens());
        double rate = Math.min(allocation.rate(), entry.rate + freeRate);
        double tokensToTransfer =
                allocation.tokensToTransfer(
                        entry.tokens, Math.min(freeCapacity, mCentral.tokens()));
        double addedTokens =
                tokensToTransfer > 0
                        ? mCentral.acquireUpTo(tokensToTransfer, nowNanos)
                        : tokensToTransfer;
        // Limit the capacity so that the remaining central tokens still fit in the central bucket.
        double movableCapacity = Math.max(0, freeCapacity - mCentral.tokens());
        double capacity = Math.max(allocation.capacity(), entry.tokens + addedTokens);
        capacity = Math.min(capacity, entry.capacity + movableCapacity);
        ShareGrant grant =
                new ShareGrant(mNextSequence++, rate, capacity, addedTokens, VALID_MILLIS, mFence);
        entry.lastGrant = grant;
        entry.pendingTokens = Math.max(0, addedTokens);
        entry.pendingCapacity = entry.countedCapacity();
        reconfigureCentral(nowNanos);
        return grant;
    }

    private void expire(long nowNanos) {
        if (mSettling && nowNanos - mTakeoverNanos >= settleNanos()) {
            mSettling = false;
            mUnknownRate = 0;
            mUnknownBurst = 0;
            // The bucket fills from the end of the settling period, even if no request came since.
            reconfigureCentral(mTakeoverNanos + settleNanos());
        }
        mCentral.fill(nowNanos);
        if (mEntries.values().removeIf(entry -> isExpired(entry, nowNanos))) {
            reconfigureCentral(nowNanos);
        }
    }

    /** Returns whether the share of a holder no longer counts. */
    boolean isExpired(ShareEntry entry, long nowNanos) {
        return nowNanos - entry.receivedNanos >= VALID_NANOS;
    }

    private double countedRate() {
        double sum = 0;
        for (ShareEntry entry : mEntries.values()) {
            sum += countedRate(entry);
        }
        return sum;
    }

    private double countedCapacity() {
        double sum = 0;
        for (ShareEntry entry : mEntries.values()) {
            sum += countedCapacity(entry);
        }
        return sum;
    }

    /** Returns the fill rate that holders may be using, including unknown holders. */
    double outstandingRate() {
        return mUnknownRate + countedRate();
    }

    /** Returns the capacity that holders may be using, including unknown holders. */
    double outstandingCapacity() {
        return mUnknownBurst + countedCapacity();
    }

    private void reconfigureCentral(long nowNanos) {
        mCentral.reconfigure(mRate - outstandingRate(), mBurst - outstandingCapacity(), nowNanos);
    }

    /** Returns the fill rate of the central bucket, in tokens per second. */
    public double centralRatePerSecond(long nowNanos) {
        expire(nowNanos);
        return mCentral.ratePerSecond();
    }

    /** Returns the capacity of the central bucket. */
    public double centralCapacity(long nowNanos) {
        expire(nowNanos);
        return mCentral.capacity();
    }

    /** Returns the tokens in the central bucket. */
    public double centralTokens(long nowNanos) {
        expire(nowNanos);
        return mCentral.tokens();
    }

    /** Returns the number of holders whose shares are counted. */
    public int holderCount() {
        return mEntries.size();
    }
}
