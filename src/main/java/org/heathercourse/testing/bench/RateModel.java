package org.heathercourse.testing.bench;

import java.util.Arrays;

/**
 * Rate limits of the workspaces in a simulated run. Not safe for use by several threads.
 *
 * <p>One token bucket per workspace for all daemons together decides whether a call is within the
 * rate. The scheduler enforces exactly this bucket, a simplification of the leased shares of {@code
 * core.limits}; the naive policy gives each daemon a bucket with the full rate.
 */
final class RateModel {
    /**
     * Ratio of the declared rate to the usual mean rate. Calls of chains arrive in bursts, so a
     * factor of 1.5 limited usual traffic.
     */
    static final double HEADROOM_FACTOR = 2;

    private static final double BURST_SECONDS = 20;

    private final Bucket[] mFleetBuckets;
    private final Bucket[][] mDaemonBuckets;

    private static final class Bucket {
        private final double mRatePerMilli;
        private final double mBurst;
        private double mTokens;
        private long mRefilledMillis;

        Bucket(double ratePerSecond) {
            mRatePerMilli = ratePerSecond / 1000;
            mBurst = Math.max(5, ratePerSecond * BURST_SECONDS);
            mTokens = mBurst;
        }

        /** Acquires a token and returns 0, or returns the milliseconds until one is available. */
        long acquireOrWaitMillis(long nowMillis) {
            mTokens = Math.min(mBurst, mTokens + (nowMillis - mRefilledMillis) * mRatePerMilli);
            mRefilledMillis = nowMillis;
            if (mTokens >= 1) {
                mTokens -= 1;
                return 0;
            }
            return (long) Math.ceil((1 - mTokens) / mRatePerMilli);
        }
    }

    /**
     * The rate decision about a call.
     *
     * @param withinRate whether the call is within the rate of its workspace
     * @param retryAfterMillis 0 if the policy admits the call, else the milliseconds after which it
     *     may be sent again
     */
    record Decision(boolean withinRate, long retryAfterMillis) {}

    RateModel(double[] callsPerSecond, int daemons, boolean fleetWide) {
        mFleetBuckets = createBuckets(callsPerSecond);
        mDaemonBuckets = new Bucket[fleetWide ? 0 : daemons][];
        Arrays.setAll(mDaemonBuckets, i -> createBuckets(callsPerSecond));
    }

    private static Bucket[] createBuckets(double[] callsPerSecond) {
        return Arrays.stream(callsPerSecond)
                .mapToObj(rate -> new Bucket(rate * HEADROOM_FACTOR))
                .toArray(Bucket[]::new);
    }

    Decision decide(int workspace, int daemon, long nowMillis) {
        long fleetWaitMillis = mFleetBuckets[workspace].acquireOrWaitMillis(nowMillis);
        long enforcedWaitMillis =
                mDaemonBuckets.length == 0
                        ? fleetWaitMillis
                        : mDaemonBuckets[daemon][workspace].acquireOrWaitMillis(nowMillis);
        return new Decision(fleetWaitMillis == 0, enforcedWaitMillis);
    }
}
