package org.heathercourse.core.limits;

/**
 * Measures events per second with exponential decay.
 *
 * <p>Not safe for use by several threads.
 */
final class DemandMeter {
    /** Time constant: short enough to follow moving traffic within about a second. */
    private static final double TIME_CONSTANT_SECONDS = 1.0;

    private double mPerSecond;
    private long mUpdatedNanos;

    DemandMeter(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    void record(long nowNanos) {
        decay(nowNanos);
        mPerSecond += 1 / TIME_CONSTANT_SECONDS;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return mPerSecond;
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        if (elapsed > 0) {
            mPerSecond *= Math.exp(-elapsed / 1e9 / TIME_CONSTANT_SECONDS);
            mUpdatedNanos = nowNanos;
        }
    }
}
