package org.heathercourse.testing.bench;

import java.util.Arrays;

/**
 * Rates of the workspaces in a run.
 *
 * <p>One bucket per workspace over the fleet says whether a call is within the rate. The scheduler
 * enforces exactly this bucket, which stands for the leased shares of {@code core.limits}; the
 * naive policy gives each daemon a bucket with the full rate.
 */
final class RateModel {
    /**
     * Declared rate over the usual mean. Calls of chains come in bursts, so that 1.5 limited usual
     * traffic.
     */
    static final double HEADROOM = 2;

    private static final double BURST_SECONDS = 20;

    private final Bucket[] mFleet;
    private final Bucket[][] mPerDaemon;

    private static final class Bucket {
        private final double mRatePerMilli;
        private final double mBurst;
        private double mTokens;
        private long mFilledMillis;

        Bucket(double ratePerSecond) {
            mRatePerMilli = ratePerSecond / 1000;
            mBurst = Math.max(5, ratePerSecond * BURST_SECONDS);
            mTokens = mBurst;
        }

        /** Takes a token; returns 0, or the time in milliseconds until there is one. */
        long take(long nowMillis) {
            mTokens = Math.min(mBurst, mTokens + (nowMillis - mFilledMillis) * mRatePerMilli);
            mFilledMillis = nowMillis;
            if (mTokens >= 1) {
                mTokens -= 1;
                return 0;
            }
            return (long) Math.ceil((1 - mTokens) / mRatePerMilli);
        }
    }

    /**
     * The decision about a call.
     *
     * @param withinRate whether the call is within the rate of its workspace
     * @param retryAfterMillis 0 if the policy admits it, else when it may be sent again
     */
    record Decision(boolean withinRate, long retryAfterMillis) {}

    RateModel(double[] callsPerSecond, int daemons, boolean shared) {
        mFleet = buckets(callsPerSecond);
        mPerDaemon = new Bucket[shared ? 0 : daemons][];
        Arrays.setAll(mPerDaemon, i -> buckets(callsPerSecond));
    }

    private static Bucket[] buckets(double[] callsPerSecond) {
        return Arrays.stream(callsPerSecond)
                .mapToObj(rate -> new Bucket(rate * HEADROOM))
                .toArray(Bucket[]::new);
    }

    Decision decide(int workspace, int daemon, long nowMillis) {
        long fleet = mFleet[workspace].take(nowMillis);
        long enforced =
                mPerDaemon.length == 0 ? fleet : mPerDaemon[daemon][workspace].take(nowMillis);
        return new Decision(fleet == 0, enforced);
    }
}
