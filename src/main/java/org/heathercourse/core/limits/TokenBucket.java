package org.heathercourse.core.limits;

/**
 * A token bucket that is filled lazily from the readings passed in.
 *
 * <p>Not safe for use by several threads.
 */
public final class TokenBucket {
    /** Absorbs rounding, so that a bucket filled for exactly one token's time holds one token. */
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
     * @param capacity most tokens held
     * @param tokens tokens held at the start
     * @param nowNanos present reading of the ticker
     */
    public TokenBucket(double ratePerSecond, double capacity, double tokens, long nowNanos) {
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = Math.min(tokens, capacity);
        mFilledNanos = nowNanos;
    }

    /** Adds the tokens that are due; readings that go back are ignored. */
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
     * @param capacity most tokens held from now on
     * @param nowNanos present reading of the ticker
     */
    public void reconfigure(double ratePerSecond, double capacity, long nowNanos) {
        fill(nowNanos);
        mRatePerSecond = Math.max(0, ratePerSecond);
        mCapacity = Math.max(0, capacity);
        mTokens = Math.min(mTokens, mCapacity);
    }

    /** Takes a number of tokens if all of them are there; returns whether it did. */
    public boolean tryAcquire(double tokens, long nowNanos) {
        fill(nowNanos);
        if (mTokens + ROUNDING < tokens) {
            return false;
        }
        mTokens = Math.max(0, mTokens - tokens);
        return true;
    }

    /**
     * Takes one token even if it is not there yet, provided that it is soon. The bucket then owes
     * it, and later tokens come after it.
     *
     * @param leftTokens tokens that have to be left in the bucket when it is taken
     * @param mostNanos longest time in nanoseconds until the token is there
     * @param nowNanos present reading of the ticker
     * @return time in nanoseconds until the token is there; it was taken if that is not above the
     *     longest time; {@link Long#MAX_VALUE} if it never is
     */
    public long reserve(double leftTokens, long mostNanos, long nowNanos) {
        fill(nowNanos);
        long waitNanos = 0;
        double lackingTokens = 1 + leftTokens - mTokens;
        if (lackingTokens > ROUNDING) {
            if (mRatePerSecond <= 0) {
                return Long.MAX_VALUE;
            }
            waitNanos = (long) Math.ceil(lackingTokens / mRatePerSecond * NANOS_PER_SECOND);
        }
        if (waitNanos <= mostNanos) {
            mTokens -= 1;
        }
        return waitNanos;
    }

    /** Takes at most the given number of tokens; returns how many. */
    public double acquireUpTo(double tokens, long nowNanos) {
        fill(nowNanos);
        double taken = Math.max(0, Math.min(tokens, mTokens));
        mTokens -= taken;
        return taken;
    }

    /** Adds tokens that came from elsewhere; those above the capacity are lost. */
    public void add(double tokens, long nowNanos) {
        fill(nowNanos);
        mTokens = Math.min(mCapacity, mTokens + Math.max(0, tokens));
    }

    /**
     * Returns the time until the bucket holds a number of tokens if none is taken.
     *
     * @param tokens number of tokens
     * @param nowNanos present reading of the ticker
     * @return time in nanoseconds; {@link Long#MAX_VALUE} if the bucket never holds as many
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

    /** Returns the most tokens held. */
    public double capacity() {
        return mCapacity;
    }

    /** Returns the tokens held at the last fill; below 0 if some are owed. */
    public double tokens() {
        return mTokens;
    }
}
