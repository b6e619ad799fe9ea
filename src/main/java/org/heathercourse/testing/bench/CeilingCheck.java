package org.heathercourse.testing.bench;

/**
 * Checks that admissions stay within a rate and a burst over every interval.
 *
 * <p>With {@code n} admissions up to time {@code t}, some interval that ends at {@code t} contains
 * more than {@code burst + rate * length} admissions exactly if {@code n - rate * t} exceeds its
 * earlier minimum by more than the burst. One pass therefore covers intervals of all lengths. Not
 * safe for use by several threads.
 */
public final class CeilingCheck {
    /** Tolerance for rounding errors of double arithmetic, in admissions. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final double mRatePerSecond;
    private final double mBurst;
    private double mMinLevel = Double.POSITIVE_INFINITY;
    private long mAdmissions;
    private long mAdmissionsOverCeiling;
    private double mWorstExcess = Double.NEGATIVE_INFINITY;

    /**
     * Creates a check.
     *
     * @param ratePerSecond admissions allowed per second
     * @param burst admissions allowed above the rate in any interval
     */
    public CeilingCheck(double ratePerSecond, double burst) {
        mRatePerSecond = ratePerSecond;
        mBurst = burst;
    }

    /**
     * Records an admission.
     *
     * @param nowNanos time of the admission; must not decrease from call to call
     */
    public void recordAdmission(long nowNanos) {
        double allowed = mRatePerSecond * nowNanos / 1e9;
        mMinLevel = Math.min(mMinLevel, mAdmissions - allowed);
        mAdmissions++;
        double excessOverMin = mAdmissions - allowed - mMinLevel;
        mWorstExcess = Math.max(mWorstExcess, excessOverMin - mBurst);
        if (excessOverMin > mBurst + ROUNDING_TOLERANCE) {
            mAdmissionsOverCeiling++;
        }
    }

    /** Returns the number of admissions at which some interval exceeded rate and burst. */
    public long admissionsOverCeiling() {
        return mAdmissionsOverCeiling;
    }

    /**
     * Returns the largest excess over rate and burst in admissions; negative if the limit was never
     * reached.
     */
    public double worstExcess() {
        return mWorstExcess;
    }

    /** Returns the number of recorded admissions. */
    public long admissions() {
        return mAdmissions;
    }
}
