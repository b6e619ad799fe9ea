package org.heathercourse.core.limits;

/**
 * Measures events per second with exponential decay.
 *
 * <p>A slow average gives a steady value; a fast one replaces it when it differs from the slow one
 * by more than random variation explains, so that traffic that moves here is seen within a fraction
 * of a second. Not safe for use by several threads.
 */
final class DemandMeter {
    private static final double SLOW_SECONDS = 1.5;
    private static final double FAST_SECONDS = 0.3;

    /** Standard deviations of the fast average that count as random variation. */
    private static final double DEVIATIONS = 2;

    private double mSlow;
    private double mFast;
    private long mUpdatedNanos;

    DemandMeter(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    void record(long nowNanos) {
        decay(nowNanos);
        mSlow += 1 / SLOW_SECONDS;
        mFast += 1 / FAST_SECONDS;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        // Variance of an exponentially decayed count of Poisson events; one event is the least.
        double deviation = Math.sqrt((mSlow + 1) / (2 * FAST_SECONDS));
        return Math.abs(mFast - mSlow) > DEVIATIONS * deviation ? mFast : mSlow;
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        if (elapsed > 0) {
            double seconds = elapsed / 1e9;
            mSlow *= Math.exp(-seconds / SLOW_SECONDS);
            mFast *= Math.exp(-seconds / FAST_SECONDS);
            mUpdatedNanos = nowNanos;
        }
    }
}
