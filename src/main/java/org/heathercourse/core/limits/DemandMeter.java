package org.heathercourse.core.limits;

/**
 * Measures events per second with exponential decay.
 *
 * <p>A slow average gives a steady value. A fast average replaces it while both differ by more than
 * random variation explains, so that a shift of traffic is detected within a fraction of a second.
 * Not safe for use by several threads.
 */
final class DemandMeter {
    /** Time constant of the slow average. */
    private static final double SLOW_SECONDS = 1.5;

    /** Time constant of the fast average. */
    private static final double FAST_SECONDS = 0.3;

    /**
     * Difference of the averages, in standard deviations of the fast one, up to which it counts as
     * random variation.
     */
    private static final double MAX_DEVIATIONS = 2;

    private double mSlowPerSecond;
    private double mFastPerSecond;
    private long mUpdatedNanos;

    DemandMeter(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    /** Records one event. */
    void record(long nowNanos) {
        decay(nowNanos);
        mSlowPerSecond += 1 / SLOW_SECONDS;
        mFastPerSecond += 1 / FAST_SECONDS;
    }

    /** Returns the current events per second. */
    double perSecond(long nowNanos) {
        decay(nowNanos);
        // Variance of an exponentially decayed rate of Poisson events, at least that of 1 event/s.
        double deviation = Math.sqrt((mSlowPerSecond + 1) / (2 * FAST_SECONDS));
        return Math.abs(mFastPerSecond - mSlowPerSecond) > MAX_DEVIATIONS * deviation
                ? mFastPerSecond
                : mSlowPerSecond;
    }

    private void decay(long nowNanos) {
        long elapsedNanos = nowNanos - mUpdatedNanos;
        if (elapsedNanos > 0) {
            double seconds = elapsedNanos / 1e9;
            mSlowPerSecond *= Math.exp(-seconds / SLOW_SECONDS);
            mFastPerSecond *= Math.exp(-seconds / FAST_SECONDS);
            mUpdatedNanos = nowNanos;
        }
    }
}
