package org.heathercourse.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Fractions of the workspaces' rates that this gateway may grant.
 *
 * <p>The fractions in use in all gateways never add up to more than 1. A gateway uses the newest
 * epoch that it has read as long as the last read started less than {@link #READ_VALID_MILLIS} ago;
 * without such a read it uses no fraction. Requests that it has admitted may start up to {@link
 * RateWaitPolicy#MAX_WAIT_MILLIS} later. An epoch may therefore be in use for the sum of both times
 * after its successor was written. During this time a gateway that has read the successor uses the
 * smaller of both fractions. Epochs follow each other at intervals longer than that.
 *
 * <p>Safe for use by several threads.
 */
public class RateFractions {
    /**
     * Time in milliseconds after the start of a read of the table during which its fractions may be
     * used.
     */
    public static final long READ_VALID_MILLIS = 3_700;

    /** Time in milliseconds after which no gateway uses the preceding epoch. */
    public static final long SETTLE_MILLIS = READ_VALID_MILLIS + RateWaitPolicy.MAX_WAIT_MILLIS;

    /** Minimum time in milliseconds between two epochs. */
    public static final long MIN_EPOCH_INTERVAL_MILLIS = SETTLE_MILLIS + 500;

    private final String mSelf;
    private final SuspendAwareClock mClock;
    private final Map<String, List<String>> mOwners = new HashMap<>();
    private final Map<String, Double> mCurrentFractions = new HashMap<>();
    private final Map<String, Double> mPreviousFractions = new HashMap<>();
    private ShareEpoch mEpoch;
    private SuspendAwareClock.Timestamp mFirstSeen;
    private SuspendAwareClock.Timestamp mReadStarted;

    /**
     * Creates an instance that has not read a share table and grants nothing.
     *
     * @param self VM of this gateway
     * @param clock clock that counts suspensions of the VM
     */
    public RateFractions(String self, SuspendAwareClock clock) {
        mSelf = self;
        mClock = clock;
    }

    /**
     * Records a read of the table. Epochs older than the newest one seen are ignored.
     *
     * @param epoch epoch that was read
     * @param started time before the read was sent
     */
    public synchronized void onRead(ShareEpoch epoch, SuspendAwareClock.Timestamp started) {
        if (mEpoch != null && epoch.number() < mEpoch.number()) {
            return;
        }
        if (mEpoch == null || epoch.number() > mEpoch.number()) {
            mEpoch = epoch;
            mOwners.clear();
            mCurrentFractions.clear();
            mPreviousFractions.clear();
            mFirstSeen = mClock.now();
        } else if (mClock.millisSince(started) > mClock.millisSince(mReadStarted)) {
            // Replies may overtake each other; the newest read counts.
            return;
        }
        mReadStarted = started;
    }

    /** Returns the newest epoch read, or null if there is none. */
    public synchronized ShareEpoch epoch() {
        return mEpoch;
    }

    /**
     * Returns whether the newest epoch was first read long enough ago that the next one may be
     * written.
     */
    public synchronized boolean nextEpochDue() {
        return mEpoch == null || mClock.millisSince(mFirstSeen) >= MIN_EPOCH_INTERVAL_MILLIS;
    }

    /** Returns the fraction, from 0 to 1, of a workspace's rate that this gateway may grant now. */
    public synchronized double fraction(String workspace) {
        if (mEpoch == null || mClock.millisSince(mReadStarted) >= READ_VALID_MILLIS) {
            return 0;
        }
        double current = fraction(mCurrentFractions, mEpoch.current(), workspace);
        return isSettled(mClock.millisSince(mFirstSeen))
                ? current
                : Math.min(current, fraction(mPreviousFractions, mEpoch.previous(), workspace));
    }

    private double fraction(Map<String, Double> cache, ShareTable table, String workspace) {
        return cache.computeIfAbsent(workspace, name -> table.fraction(mSelf, name));
    }

    /** Returns the VMs that own a workspace's rate; empty if no epoch has been read. */
    public synchronized List<String> owners(String workspace) {
        return mEpoch == null
                ? List.of()
                : mOwners.computeIfAbsent(workspace, mEpoch.current()::owners);
    }

    /**
     * Returns whether no gateway uses the preceding epoch any more.
     *
     * @param seenMillis time in milliseconds since this gateway first read the newest epoch
     */
    boolean isSettled(long seenMillis) {
        return seenMillis >= SETTLE_MILLIS;
    }
}
