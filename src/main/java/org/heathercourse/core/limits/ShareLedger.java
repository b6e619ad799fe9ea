package org.heathercourse.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.model.VmId;

/**
 * Grantor side of one workspace: divides its rate and burst between a central bucket and shares.
 *
 * <p>At any moment the fill rates of the central bucket and of all outstanding shares add up to at
 * most the rate, their capacities add up to at most the burst, and tokens only move. The ledger
 * counts a share until it has not heard from its holder for {@link #VALID_NANOS}, counts an
 * increase when it replies, and counts a decrease when the holder's next request reports it.
 *
 * <p>Not safe for use by several threads.
 */
public class ShareLedger {
    /** Validity of a share in milliseconds, counted from the sending of the request. */
    public static final long VALID_MILLIS = 10_000;

    /** Time after the last request of a holder during which its share counts. */
    static final long VALID_NANOS = VALID_MILLIS * 1_000_000L;

    /** Fence of the first owner ever: no earlier grantor can have given shares. */
    static final long FIRST_FENCE = 1;

    /** Absorbs the rounding of sums of doubles. */
    private static final double ROUNDING = 1e-9;

    private final long mFence;
    private final long mTakeoverNanos;
    private final Map<HolderKey, ShareEntry> mEntries = new LinkedHashMap<>();
    private final TokenBucket mCentral;
    private final SharePolicy mPolicy;
    private double mRate;
    private double mBurst;
    private boolean mSettling;

    /** Rate and burst that holders unknown to this grantor may be using until it has settled. */
    private double mUnknownRate;

    private double mUnknownBurst;
    private long mNextSequence = 1;

    /** A process on a VM. */
    record HolderKey(VmId vm, long incarnation) {}

    /**
     * Creates the ledger of a new grantor.
     *
     * @param fence fencing number of the grantor
     * @param ratePerSecond rate of the workspace
     * @param burst burst of the workspace
     * @param takeoverNanos reading at which this grantor became the owner
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
     * Changes rate and burst. An increase takes effect at once, a decrease as shares shrink.
     *
     * @param ratePerSecond new rate
     * @param burst new burst
     * @param nowNanos present reading of the ticker
     */
    public void reconfigure(double ratePerSecond, double burst, long nowNanos) {
        expire(nowNanos);
        if (mSettling) {
            // The earlier grantor may have handed out the increase already.
            mUnknownRate += Math.max(0, ratePerSecond - mRate);
            mUnknownBurst += Math.max(0, burst - mBurst);
        }
        mRate = ratePerSecond;
        mBurst = burst;
        reshapeCentral(nowNanos);
    }

    /**
     * Answers a request.
     *
     * @param ask the request
     * @param nowNanos present reading of the ticker
     * @return the reply, or empty for a request that a later one of the same holder has overtaken
     *     or that is malformed
     */
    public Optional<ShareGrant> onRenewal(ShareRenewal ask, long nowNanos) {
        if (!ask.wellFormed()) {
            return Optional.empty();
        }
        expire(nowNanos);
        if (mSettling && !upToDate(ask)) {
            return Optional.of(ShareGrant.reportRequest(mFence));
        }
        HolderKey key = new HolderKey(ask.holder(), ask.holderIncarnation());
        ShareEntry entry = mEntries.get(key);
        if (entry == null) {
            entry = new ShareEntry();
            mEntries.put(key, entry);
            adopt(entry, ask);
        } else if (repeated(entry, ask)) {
            return Optional.ofNullable(entry.lastGrant);
        } else if (overtaken(entry, ask)) {
            return Optional.empty();
        } else {
            resolve(entry, ask, nowNanos);
        }
        entry.note(ask, nowNanos);
        reshapeCentral(nowNanos);
        return Optional.of(grant(entry, nowNanos));
    }

    // The rules of conservation. Tests break each of them to see the ceiling exceeded.

    /**
     * Returns whether a report was made with knowledge of this grantor. An older report may be from
     * before a change of shares by an earlier grantor; adopted, it would count one holder's share
     * twice as large and another's not at all.
     */
    boolean upToDate(ShareRenewal ask) {
        return ask.seenFence() >= mFence;
    }

    /** Returns whether the last request came again; it gets the same reply. */
    boolean repeated(ShareEntry entry, ShareRenewal ask) {
        return ask.number() == entry.lastNumber;
    }

    /** Returns whether a later request of the holder came before; its report is out of date. */
    boolean overtaken(ShareEntry entry, ShareRenewal ask) {
        return ask.number() < entry.lastNumber;
    }

    /** Counts a share that an earlier grantor gave, as far as the rest of the rate allows. */
    private void adopt(ShareEntry entry, ShareRenewal ask) {
        if (!adoptable(ask)) {
            return;
        }
        boolean fits =
                ask.ratePerSecond() <= mUnknownRate + ROUNDING
                        && ask.capacity() <= mUnknownBurst + ROUNDING;
        if (fits) {
            entry.rate = ask.ratePerSecond();
            entry.capacity = ask.capacity();
            mUnknownRate = Math.max(0, mUnknownRate - entry.rate);
            mUnknownBurst = Math.max(0, mUnknownBurst - entry.capacity);
        }
    }

    /** Returns whether a reported share was given by an earlier grantor and is still valid. */
    boolean adoptable(ShareRenewal ask) {
        return mSettling
                && ask.adoptedSequence() != 0
                && ask.grantorFence() < mFence
                && ask.remainingMillis() > 0;
    }

    /** Finds out whether the last reply was adopted; it never will be if this one does not say. */
    private void resolve(ShareEntry entry, ShareRenewal ask, long nowNanos) {
        ShareGrant pending = entry.lastGrant;
        if (pending != null && confirms(ask, pending)) {
            entry.rate = pending.ratePerSecond();
            entry.capacity = pending.capacity();
            entry.pendingTokens = 0;
            entry.lastGrant = null;
            reshapeCentral(nowNanos);
            mCentral.add(credit(ask, entry), nowNanos);
            return;
        }
        double lost = entry.pendingTokens;
        entry.pendingTokens = 0;
        entry.lastGrant = null;
        if (ask.adoptedSequence() == 0) {
            entry.rate = 0;
            entry.capacity = 0;
        }
        reshapeCentral(nowNanos);
        mCentral.add(lost, nowNanos);
    }

    /** Returns whether a request reports that a reply of this grantor was adopted. */
    boolean confirms(ShareRenewal ask, ShareGrant pending) {
        return ask.grantorFence() == mFence && ask.adoptedSequence() == pending.sequence();
    }

    /** Returns the fill rate that a holder may be using: a decrease counts when reported. */
    double countedRate(ShareEntry entry) {
        return entry.countedRate();
    }

    /** Returns the capacity that a holder may be using. */
    double countedCapacity(ShareEntry entry) {
        return entry.countedCapacity();
    }

    /** Returns how long shares of earlier grantors count. */
    long settleNanos() {
        return VALID_NANOS;
    }

    /** Returns the tokens that a report gives back; a holder cannot give more than it can hold. */
    private static double credit(ShareRenewal ask, ShareEntry entry) {
        return Math.min(ask.returnedTokens(), entry.countedBefore);
    }

    private ShareGrant grant(ShareEntry entry, long nowNanos) {
        double freeRate = Math.max(0, mRate - outstandingRate());
        double freeCapacity = Math.max(0, mBurst - outstandingCapacity());
        SharePolicy.Target target =
                mPolicy.target(entry, mEntries.values(), mRate, mBurst, mCentral.tokens());
        double rate = Math.min(target.rate(), entry.rate + freeRate);
        double wanted = target.wanted(entry.tokens, Math.min(freeCapacity, mCentral.tokens()));
        double added = wanted > 0 ? mCentral.acquireUpTo(wanted, nowNanos) : wanted;
        // Capacity moves only as far as the tokens that stay behind still fit the central bucket.
        double movable = Math.max(0, freeCapacity - mCentral.tokens());
        double capacity = Math.max(target.capacity(), entry.tokens + added);
        capacity = Math.min(capacity, entry.capacity + movable);
        ShareGrant grant =
                new ShareGrant(mNextSequence++, rate, capacity, added, VALID_MILLIS, mFence);
        entry.lastGrant = grant;
        entry.pendingTokens = Math.max(0, added);
        entry.countedBefore = entry.countedCapacity();
        reshapeCentral(nowNanos);
        return grant;
    }

    private void expire(long nowNanos) {
        if (mSettling && nowNanos - mTakeoverNanos >= settleNanos()) {
            mSettling = false;
            mUnknownRate = 0;
            mUnknownBurst = 0;
            // The bucket fills from the end of the wait, also if nobody asked since.
            reshapeCentral(mTakeoverNanos + settleNanos());
        }
        mCentral.fill(nowNanos);
        if (mEntries.values().removeIf(entry -> expired(entry, nowNanos))) {
            reshapeCentral(nowNanos);
        }
    }

    boolean expired(ShareEntry entry, long nowNanos) {
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

    /** Returns the fill rate that holders may be using, unknown holders included. */
    double outstandingRate() {
        return mUnknownRate + countedRate();
    }

    /** Returns the capacity that holders may be using, unknown holders included. */
    double outstandingCapacity() {
        return mUnknownBurst + countedCapacity();
    }

    private void reshapeCentral(long nowNanos) {
        mCentral.reconfigure(mRate - outstandingRate(), mBurst - outstandingCapacity(), nowNanos);
    }

    /** Returns the fill rate of the central bucket. */
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

    /** Returns the number of holders whose shares count. */
    public int holderCount() {
        return mEntries.size();
    }
}
