package org.heathercourse.testing.bench;

/**
 * Checks that admissions stay within a rate and burst over every interval.
 *
 * <p>With {@code n} admissions up to time {@code t}, some interval that ends now holds more than
 * burst + rate * length exactly if {@code n - rate * t} exceeds its own earlier minimum by more
 * than the burst, so one pass covers all interval lengths. Not safe for use by several threads.
 */
public final class CeilingCheck {
    /** Absorbs the rounding of sums of doubles. */
    private static final double ROUNDING = 1e-6;

    private final double mRatePerSecond;
    private final double mBurst;
    private double mLowest = Double.POSITIVE_INFINITY;
    private long mAdmitted;
    private long mOver;
    private double mWorst = Double.NEGATIVE_INFINITY;

    /**
     * Creates a check.
     *
     * @param ratePerSecond admissions allowed per second
     * @param burst admissions allowed at once
     */
    public CeilingCheck(double ratePerSecond, double burst) {
        mRatePerSecond = ratePerSecond;
        mBurst = burst;
    }

    /** Notes an admission; times must not go back. */
    public void recordAdmission(long nowNanos) {
        double allowed = mRatePerSecond * nowNanos / 1e9;
        mLowest = Math.min(mLowest, mAdmitted - allowed);
        mAdmitted++;
        double level = mAdmitted - allowed - mLowest;
        mWorst = Math.max(mWorst, level - mBurst);
        if (level > mBurst + ROUNDING) {
            mOver++;
        }
    }

    /** Returns the number of admissions that ended an interval above the ceiling. */
    public long admissionsOverCeiling() {
        return mOver;
    }

    /** Returns the largest excess over the ceiling; negative if the ceiling was never reached. */
    public double worstExcess() {
        return mWorst;
    }

    /** Returns the number of admissions. */
    public long admissions() {
        return mAdmitted;
    }
}
