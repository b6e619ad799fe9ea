package org.heathercourse.core.limits;

/**
 * A token bucket that is filled lazily up to the ticker time passed to each method.
 *
 * <p>Not safe for use by several threads.
 */
public final class TokenBucket {
    /**
     * Tolerance for rounding errors, so that a bucket filled for exactly the time of one token
     * holds one token.
     */
    private static final double ROUNDING = 1e-9;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mRatePerSecond;
    private double mCapacity;
    private double mTokens;
    private long mFilledNanos;

    /**
     * Creates a bucket.
     *
     * @param ratePerSecond tokens added per second
     * @param capacity maximum number of tokens
     * @param tokens initial number of tokens
     * @param nowNanos current ticker time
     */
    public TokenBucket(double ratePerSecond, double capacity, double tokens, long nowNanos) {
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = Math.min(tokens, capacity);
        mFilledNanos = nowNanos;
    }

    /** Adds the tokens for the time since the last fill; times before the last fill are ignored. */
    public void fill(long nowNanos) {
        long elapsed = nowNanos - mFilledNanos;
        if (elapsed <= 0) {
            return;
        }
        mFilledNanos = nowNanos;
        mTokens = Math.min(mCapacity, mTokens + mRatePerSecond * elapsed / NANOS_PER_SECOND);
    }

    /**
     * Changes rate and capacity; tokens above the new capacity are lost.
     *
     * @param ratePerSecond tokens added per second from now on
     * @param capacity maximum number of tokens from now on
     * @param nowNanos current ticker time
     */
    public void reconfigure(double ratePerSecond, double capacity, long nowNanos) {
        fill(nowNanos);
        mRatePerSecond = Math.max(0, ratePerSecond);
        mCapacity = Math.max(0, capacity);
        mTokens = Math.min(mTokens, mCapacity);
    }

    /** Acquires a number of tokens if all of them are available; returns whether it did. */
    public boolean tryAcquire(double tokens, long nowNanos) {
        fill(nowNanos);
        if (mTokens + ROUNDING < tokens) {
            return false;
        }
        mTokens = Math.max(0, mTokens - tokens);
        return true;
    }

    /**
     * Reserves one token that is available now or within a maximum time. A token reserved ahead of
     * time makes the number of tokens negative, so that later requests wait longer.
     *
     * @param remainingTokens tokens that must remain in the bucket after the reservation
     * @param maxWaitNanos maximum time in nanoseconds until the token is available
     * @param nowNanos current ticker time
     * @return time in nanoseconds until the token is available; the token was reserved if this is
     *     not greater than the maximum time; {@link Long#MAX_VALUE} if it never becomes available
     */
    public long reserve(double remainingTokens, long maxWaitNanos, long nowNanos) {
        fill(nowNanos);
        long waitNanos = 0;
        double missingTokens = 1 + remainingTokens - mTokens;
        if (missingTokens > ROUNDING) {
            if (mRatePerSecond <= 0) {
                return Long.MAX_VALUE;
            }
            waitNanos = (long) Math.ceil(missingTokens / mRatePerSecond * NANOS_PER_SECOND);
        }
        if (waitNanos <= maxWaitNanos) {
            mTokens -= 1;
        }
        return waitNanos;
    }

    /** Acquires at most the given number of tokens; returns how many were acquired. */
    public double acquireUpTo(double tokens, long nowNanos) {
        fill(nowNanos);
        double acquired = Math.max(0, Math.min(tokens, mTokens));
        mTokens -= acquired;
        return acquired;
    }

    /** Adds tokens transferred from another bucket; tokens above the capacity are lost. */
    public void add(double tokens, long nowNanos) {
        fill(nowNanos);
        mTokens = Math.min(mCapacity, mTokens + Math.max(0, tokens));
    }

    /**
     * Returns the time until the bucket holds a number of tokens if none is acquired.
     *
     * @param tokens number of tokens
     * @param nowNanos current ticker time
     * @return time in nanoseconds; {@link Long#MAX_VALUE} if the bucket never holds that many
     */
    public long nanosUntil(double tokens, long nowNanos) {
        fill(nowNanos);
        if (mTokens + ROUNDING >= tokens) {
            return 0;
        }
        if (mRatePerSecond <= 0 || mCapacity + ROUNDING < tokens) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - mTokens) / mRatePerSecond * NANOS_PER_SECOND);
    }

    /** Returns the tokens added per second. */
    public double ratePerSecond() {
        return mRatePerSecond;
    }

    /** Returns the maximum number of tokens. */
    public double capacity() {
        return mCapacity;
    }

    /**
     * Returns the number of tokens at the last fill; negative if tokens are reserved ahead of time.
     */
    public double tokens() {
        return mTokens;
    }
}
