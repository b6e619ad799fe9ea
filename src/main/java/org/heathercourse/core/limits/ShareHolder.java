package org.heathercourse.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Decides which fraction of a workspace's rate this gateway may hand out.
 *
 * <p>At no time do the fractions in use in all gateways add up to more than 1. A gateway that has
 * confirmed an epoch less than {@link #CONFIRM_MILLIS} ago uses it, and requests that it admits go
 * on up to {@link RateWaitPolicy#MAX_WAIT_MILLIS} later; the next epoch is therefore older than
 * both before nobody uses this one any more. For that long a gateway that has seen the next epoch
 * uses the smaller fraction of both. Epochs follow each other no faster. A gateway without a recent
 * read uses nothing.
 *
 * <p>Safe for use by several threads.
 */
public class ShareHolder {
    /** Time in milliseconds for which a read of the table entitles to its fractions. */
    public static final long CONFIRM_MILLIS = 3_700;

    /** Time in milliseconds after which nobody uses the epoch before any more. */
    public static final long SETTLE_MILLIS = CONFIRM_MILLIS + RateWaitPolicy.MAX_WAIT_MILLIS;

    /** Shortest time in milliseconds between two epochs. */
    public static final long EPOCH_MILLIS = SETTLE_MILLIS + 500;

    private final String mSelf;
    private final SuspendAwareClock mTicker;
    private final Map<String, List<String>> mOwners = new HashMap<>();
    private final Map<String, Double> mOwned = new HashMap<>();
    private ShareEpoch mEpoch;
    private SuspendAwareClock.Timestamp mFirstSeen;
    private SuspendAwareClock.Timestamp mConfirmed;

    /**
     * Creates a holder without shares.
     *
     * @param self VM of this gateway
     * @param ticker source of moments
     */
    public ShareHolder(String self, SuspendAwareClock ticker) {
        mSelf = self;
        mTicker = ticker;
    }

    /**
     * Notes a read of the table.
     *
     * @param epoch the newest epoch
     * @param started moment before the read was sent
     */
    public synchronized void onRead(ShareEpoch epoch, SuspendAwareClock.Timestamp started) {
        if (mEpoch != null && epoch.number() < mEpoch.number()) {
            return;
        }
        if (mEpoch == null || epoch.number() > mEpoch.number()) {
            mEpoch = epoch;
            mOwners.clear();
            mOwned.clear();
            mFirstSeen = mTicker.now();
        }
        mConfirmed = started;
    }

    /** Returns the newest epoch seen, or null. */
    public synchronized ShareEpoch epoch() {
        return mEpoch;
    }

    /** Returns whether the epoch was seen long enough ago for the next one to be written. */
    public synchronized boolean nextEpochDue() {
        return mEpoch == null || mTicker.millisSince(mFirstSeen) >= EPOCH_MILLIS;
    }

    /** Returns the fraction of a workspace's rate that this gateway may hand out now. */
    public synchronized double fraction(String workspace) {
        if (mEpoch == null || mTicker.millisSince(mConfirmed) >= CONFIRM_MILLIS) {
            return 0;
        }
        double current = mOwned.computeIfAbsent(workspace, this::currentFraction);
        return settled(mTicker.millisSince(mFirstSeen))
                ? current
                : Math.min(current, mEpoch.previous().fraction(mSelf, workspace));
    }

    private double currentFraction(String workspace) {
        return mEpoch.current().fraction(mSelf, workspace);
    }

    /** Returns the owners of a workspace's rate; none if no epoch is known yet. */
    public synchronized List<String> owners(String workspace) {
        return mEpoch == null
                ? List.of()
                : mOwners.computeIfAbsent(workspace, mEpoch.current()::owners);
    }

    /** Returns whether nobody uses the epoch before any more. */
    boolean settled(long seenMillis) {
        return seenMillis >= SETTLE_MILLIS;
    }
}
