package org.heathercourse.core.burn;

import java.util.Arrays;

/**
 * Good and bad calls in time buckets at three resolutions.
 *
 * <p>Buckets are aligned to wall-clock time, so that series of several daemons add up bucket by
 * bucket. Memory is fixed. Not safe for several threads; snapshots hold copies that nobody changes.
 */
final class BurnSeries {
    /** Resolutions with the time that they cover. */
    enum Tier {
        /** An hour, for the windows of 5 minutes and 1 hour. */
        MINUTES(60_000L, 61),
        /** Three days, for the windows of 6 hours and 3 days. */
        HALF_HOURS(1_800_000L, 145),
        /** Thirty days, for the budget window. */
        HALF_DAYS(43_200_000L, 61);

        private final long mBucketMillis;
        private final int mBuckets;

        Tier(long bucketMillis, int buckets) {
            mBucketMillis = bucketMillis;
            mBuckets = buckets;
        }

        long bucketMillis() {
            return mBucketMillis;
        }

        /** Returns the finest tier that covers a window. */
        static Tier covering(long windowMillis) {
            for (Tier tier : values()) {
                if (tier.mBucketMillis * (tier.mBuckets - 1) >= windowMillis) {
                    return tier;
                }
            }
            return HALF_DAYS;
        }
    }

    /**
     * Calls in a window.
     *
     * @param good calls within the objective's latency
     * @param bad other calls
     */
    record Sum(long good, long bad) {
        long total() {
            return good + bad;
        }

        /** Returns the share of bad calls; 0 without calls. */
        double badRatio() {
            return total() == 0 ? 0 : (double) bad / total();
        }
    }

    private final Ring[] mRings;

    private static final class Ring {
        private final Tier mTier;
        private final int[] mGood;
        private final int[] mBad;
        private long mLatest = Long.MIN_VALUE / 2;

        Ring(Tier tier) {
            mTier = tier;
            mGood = new int[tier.mBuckets];
            mBad = new int[tier.mBuckets];
        }

        void add(long index, int good, int bad) {
            if (index <= mLatest - mTier.mBuckets) {
                return;
            }
            if (index > mLatest) {
                long from = Math.max(mLatest + 1, index - mTier.mBuckets + 1);
                for (long i = from; i <= index; i++) {
                    mGood[slot(i)] = 0;
                    mBad[slot(i)] = 0;
                }
                mLatest = index;
            }
            mGood[slot(index)] = saturated(mGood[slot(index)], good);
            mBad[slot(index)] = saturated(mBad[slot(index)], bad);
        }

        private int slot(long index) {
            return Math.floorMod(index, mTier.mBuckets);
        }

        private static int saturated(int a, int b) {
            return (int) Math.min(Integer.MAX_VALUE, (long) a + b);
        }

        void addAll(Ring other) {
            for (int i = other.mTier.mBuckets - 1; i >= 0; i--) {
                long index = other.mLatest - i;
                int slot = other.slot(index);
                if (other.mGood[slot] != 0 || other.mBad[slot] != 0) {
                    add(index, other.mGood[slot], other.mBad[slot]);
                }
            }
        }

        Sum sum(long fromIndex, long toIndex) {
            long good = 0;
            long bad = 0;
            long from = Math.max(fromIndex, mLatest - mTier.mBuckets + 1);
            for (long i = from; i <= Math.min(toIndex, mLatest); i++) {
                good += mGood[slot(i)];
                bad += mBad[slot(i)];
            }
            return new Sum(good, bad);
        }

        Ring copy() {
            Ring copy = new Ring(mTier);
            System.arraycopy(mGood, 0, copy.mGood, 0, mGood.length);
            System.arraycopy(mBad, 0, copy.mBad, 0, mBad.length);
            copy.mLatest = mLatest;
            return copy;
        }
    }

    BurnSeries() {
        mRings = Arrays.stream(Tier.values()).map(Ring::new).toArray(Ring[]::new);
    }

    private BurnSeries(Ring[] rings) {
        mRings = rings;
    }

    void record(boolean good, long epochMillis) {
        for (Ring ring : mRings) {
            long index = Math.floorDiv(epochMillis, ring.mTier.mBucketMillis);
            ring.add(index, good ? 1 : 0, good ? 0 : 1);
        }
    }

    /** Returns the calls of a window that ends now; the running bucket counts as a whole one. */
    Sum sum(long windowMillis, long epochMillis) {
        Tier tier = Tier.covering(windowMillis);
        long last = Math.floorDiv(epochMillis, tier.mBucketMillis);
        long buckets = Math.max(1, windowMillis / tier.mBucketMillis);
        return mRings[tier.ordinal()].sum(last - buckets + 1, last);
    }

    /** Returns the bad share of each of the last buckets of a tier, oldest first. */
    double[] badRatios(Tier tier, int buckets, long epochMillis) {
        double[] ratios = new double[buckets];
        long last = Math.floorDiv(epochMillis, tier.mBucketMillis);
        for (int i = 0; i < buckets; i++) {
            long index = last - buckets + 1 + i;
            ratios[i] = mRings[tier.ordinal()].sum(index, index).badRatio();
        }
        return ratios;
    }

    BurnSeries copy() {
        return new BurnSeries(Arrays.stream(mRings).map(Ring::copy).toArray(Ring[]::new));
    }

    BurnSeries plus(BurnSeries other) {
        BurnSeries sum = new BurnSeries();
        for (int i = 0; i < mRings.length; i++) {
            // The newer ring goes first, so that the older one cannot clear its buckets.
            boolean newer = mRings[i].mLatest >= other.mRings[i].mLatest;
            sum.mRings[i].addAll(newer ? mRings[i] : other.mRings[i]);
            sum.mRings[i].addAll(newer ? other.mRings[i] : mRings[i]);
        }
        return sum;
    }
}
