package org.heathercourse.core.limits;

/**
 * Bounds the sum of the bytes that a process keeps for its callers and targets.
 *
 * <p>Load pattern: a limit for each connection does not bound what hundreds of them keep at the
 * same time, such as long bodies in a burst, or events without end of a target in trouble. The last
 * quarter of the budget is left to small reservations, so that a few long bodies do not refuse the
 * many short ones. Not thread-safe.
 */
public final class MemoryBudget {
    /** Size in bytes up to which a reservation may use the whole budget. */
    static final long MAX_SMALL_BYTES = 64 * 1024;

    /** Fraction of the budget that larger reservations may use. */
    private static final double LARGE_FRACTION = 0.75;

    /** Fraction of the budget that may be in use when the unfinished head of a message grows. */
    private static final double HEAD_FRACTION = 0.5;

    private final long mLimitBytes;
    private final long mLargeLimitBytes;
    private final long mHeadLimitBytes;
    private long mUsedBytes;
    private long mPeakBytes;
    private long mRefusedCount;

    /**
     * Creates an unused budget.
     *
     * @param limitBytes maximum sum of all reservations in bytes
     */
    public MemoryBudget(long limitBytes) {
        mLimitBytes = limitBytes;
        mLargeLimitBytes = (long) (limitBytes * LARGE_FRACTION);
        mHeadLimitBytes = (long) (limitBytes * HEAD_FRACTION);
    }

    /** Returns a reservation of no bytes. */
    public Reservation reserveNothing() {
        return new Reservation(mLimitBytes, mLargeLimitBytes);
    }

    /**
     * Returns a reservation of no bytes for the unfinished head of a message. It can grow only
     * while less than half of the budget is in use, because requests under way go first and a sound
     * peer sends its head at once.
     */
    public Reservation reserveHead() {
        return new Reservation(mHeadLimitBytes, mHeadLimitBytes);
    }

    /** Returns the sum of all reservations in bytes. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** Returns the largest sum of all reservations so far, in bytes. */
    public long peakBytes() {
        return mPeakBytes;
    }

    /** Returns how often a reservation could not grow. */
    public long refusedCount() {
        return mRefusedCount;
    }

    /** Bytes that one connection or call keeps. Must be released when it ends. Not thread-safe. */
    public final class Reservation {
        private final long mSmallBoundBytes;
        private final long mLargeBoundBytes;
        private long mBytes;

        /**
         * Creates a reservation of no bytes.
         *
         * @param smallBoundBytes bytes that may be in use when the reservation is small
         * @param largeBoundBytes bytes that may be in use when the reservation is larger
         */
        private Reservation(long smallBoundBytes, long largeBoundBytes) {
            mSmallBoundBytes = smallBoundBytes;
            mLargeBoundBytes = largeBoundBytes;
        }

        /**
         * Changes the reservation.
         *
         * @param bytes new size in bytes
         * @return false, without a change, if it would grow beyond what the budget allows
         */
        public boolean resize(long bytes) {
            long used = mUsedBytes - mBytes + bytes;
            long boundBytes = bytes <= MAX_SMALL_BYTES ? mSmallBoundBytes : mLargeBoundBytes;
            if (bytes > mBytes && used > boundBytes) {
                mRefusedCount++;
                return false;
            }
            mUsedBytes = used;
            mPeakBytes = Math.max(mPeakBytes, used);
            mBytes = bytes;
            return true;
        }

        /** Returns all bytes to the budget; no effect if there are none. */
        public void release() {
            resize(0);
        }
    }
}
