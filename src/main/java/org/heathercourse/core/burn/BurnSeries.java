package org.heathercourse.core.burn;

import java.util.Arrays;
import java.util.List;

/**
 * Counters of good and bad calls in time buckets at three resolutions.
 *
 * <p>Buckets are aligned to wall-clock time, so that the series of several daemons can be added
 * bucket by bucket. Memory use is fixed. Not safe for use by several threads; snapshots hold copies
 * that are never modified.
 */
final class BurnSeries {
    /** Resolutions, each with the time span that it covers. */
    enum Tier {
        /** Covers 1 hour, for the windows of 5 minutes and 1 hour. */
        MINUTES(60_000L, 61),
        /** Covers 3 days, for the windows of 6 hours and 3 days. */
        HALF_HOURS(1_800_000L, 145),
        /** Covers 30 days, for the budget window. */
        HALF_DAYS(43_200_000L, 61);

        private final long mBucketMillis;
        private final int mBucketCount;

        Tier(long bucketMillis, int buckets) {
            mBucketMillis = bucketMillis;
            mBucketCount = buckets;
        }

        long bucketMillis() {
            return mBucketMillis;
        }

        /**
         * Returns the finest tier that covers a window in milliseconds, or the coarsest if none
         * does.
         */
        static Tier finestCovering(long windowMillis) {
            for (Tier tier : values()) {
                if (tier.mBucketMillis * (tier.mBucketCount - 1) >= windowMillis) {
                    return tier;
                }
            }
            return HALF_DAYS;
        }
    }

    /**
     * Number of calls in a window.
     *
     * @param good calls that met the objective
     * @param bad other calls
     */
    record Sum(long good, long bad) {
        long total() {
            return good + bad;
        }

        /** Returns the ratio of bad calls; 0 if there are no calls. */
        double badRatio() {
            return total() == 0 ? 0 : (double) bad / total();
        }
    }

    private final Ring[] mRings;

    /** A ring buffer of the counters of one tier; a bucket is in the slot of its index. */
    private static final class Ring {
        private final Tier mTier;
        private final int[] mGood;
        private final int[] mBad;
        private long mLatestIndex = Long.MIN_VALUE / 2;

        Ring(Tier tier) {
            mTier = tier;
            mGood = new int[tier.mBucketCount];
            mBad = new int[tier.mBucketCount];
        }

        void add(long index, int good, int bad) {
            if (index <= mLatestIndex - mTier.mBucketCount) {
                return;
            }
            if (index > mLatestIndex) {
                long from = Math.max(mLatestIndex + 1, index - mTier.mBucketCount + 1);
                for (long i = from; i <= index; i++) {
                    mGood[slot(i)] = 0;
                    mBad[slot(i)] = 0;
                }
                mLatestIndex = index;
            }
            mGood[slot(index)] = saturatedSum(mGood[slot(index)], good);
            mBad[slot(index)] = saturatedSum(mBad[slot(index)], bad);
        }

        private int slot(long index) {
            return Math.floorMod(index, mTier.mBucketCount);
        }

        private static int saturatedSum(int a, int b) {
            return (int) Math.min(Integer.MAX_VALUE, (long) a + b);
        }

        void addAll(Ring other) {
            for (int i = other.mTier.mBucketCount - 1; i >= 0; i--) {
                long index = other.mLatestIndex - i;
                int slot = other.slot(index);
                if (other.mGood[slot] != 0 || other.mBad[slot] != 0) {
                    add(index, other.mGood[slot], other.mBad[slot]);
                }
            }
        }

        Sum sum(long fromIndex, long toIndex) {
            long good = 0;
            long bad = 0;
            long from = Math.max(fromIndex, mLatestIndex - mTier.mBucketCount + 1);
            for (long i = from; i <= Math.min(toIndex, mLatestIndex); i++) {
                good += mGood[slot(i)];
                bad += mBad[slot(i)];
            }
            return new Sum(good, bad);
        }

        Ring copy() {
            Ring copy = new Ring(mTier);
            System.arraycopy(mGood, 0, copy.mGood, 0, mGood.length);
            System.arraycopy(mBad, 0, copy.mBad, 0, mBad.length);
            copy.mLatestIndex = mLatestIndex;
            return copy;
        }
    }

    BurnSeries() {
        mRings = Arrays.stream(Tier.values()).map(Ring::new).toArray(Ring[]::new);
    }

    private BurnSeries(Ring[] rings) {
        mRings = rings;
    }

    /** Counts a call that ended at a wall-clock time in milliseconds since the epoch. */
    void record(boolean good, long epochMillis) {
        for (Ring ring : mRings) {
            long index = Math.floorDiv(epochMillis, ring.mTier.mBucketMillis);
            ring.add(index, good ? 1 : 0, good ? 0 : 1);
        }
    }

    /**
     * Returns the number of calls in a window.
     *
     * @param windowMillis length of the window in milliseconds; the current bucket counts as a full
     *     one
     * @param epochMillis end of the window in milliseconds since the epoch
     */
    Sum sum(long windowMillis, long epochMillis) {
        Tier tier = Tier.finestCovering(windowMillis);
        long lastIndex = Math.floorDiv(epochMillis, tier.mBucketMillis);
        long buckets = Math.max(1, windowMillis / tier.mBucketMillis);
        return mRings[tier.ordinal()].sum(lastIndex - buckets + 1, lastIndex);
    }

    /** Returns the ratio of bad calls in each of the last buckets of a tier, oldest first. */
    double[] badRatios(Tier tier, int buckets, long epochMillis) {
        double[] ratios = new double[buckets];
        long lastIndex = Math.floorDiv(epochMillis, tier.mBucketMillis);
        for (int i = 0; i < buckets; i++) {
            long index = lastIndex - buckets + 1 + i;
            ratios[i] = mRings[tier.ordinal()].sum(index, index).badRatio();
        }
        return ratios;
    }

    /** Appends all buckets with calls to a list. */
    void appendBuckets(ObjectiveKey key, List<BurnBucket> to) {
        for (Ring ring : mRings) {
            long bucketMillis = ring.mTier.mBucketMillis;
            for (long i = ring.mLatestIndex - ring.mTier.mBucketCount + 1;
                    i <= ring.mLatestIndex;
                    i++) {
                int slot = ring.slot(i);
                if (ring.mGood[slot] != 0 || ring.mBad[slot] != 0) {
                    to.add(
                            new BurnBucket(
                                    key,
                                    bucketMillis,
                                    i * bucketMillis,
                                    ring.mGood[slot],
                                    ring.mBad[slot]));
                }
            }
        }
    }

    /** Adds the calls of a bucket; ignores buckets that match no tier or are too old. */
    void addBucket(BurnBucket bucket) {
        for (Ring ring : mRings) {
            if (ring.mTier.mBucketMillis == bucket.widthMillis()) {
                long index = Math.floorDiv(bucket.startEpochMillis(), bucket.widthMillis());
                ring.add(index, bucket.good(), bucket.bad());
            }
        }
    }

    BurnSeries copy() {
        return new BurnSeries(Arrays.stream(mRings).map(Ring::copy).toArray(Ring[]::new));
    }

    /** Returns the sum of this series and another one; both are unchanged. */
    BurnSeries plus(BurnSeries other) {
        BurnSeries sum = new BurnSeries();
        for (int i = 0; i < mRings.length; i++) {
            // The newer ring is added first, so that adding the older one clears none of its
            // buckets.
            boolean newer = mRings[i].mLatestIndex >= other.mRings[i].mLatestIndex;
            sum.mRings[i].addAll(newer ? mRings[i] : other.mRings[i]);
            sum.mRings[i].addAll(newer ? other.mRings[i] : mRings[i]);
        }
        return sum;
    }
}
