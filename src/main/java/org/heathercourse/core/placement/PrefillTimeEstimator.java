package org.heathercourse.core.placement;

/**
 * Estimates the time to compute a prompt token from observed times to the first token.
 *
 * <p>The time to the first token includes waits that do not depend on the prompt. The estimate is
 * the slope of a linear regression over the computed tokens with exponential decay, which excludes
 * these waits. A plain ratio includes them and is several times too high for short prompts. Not
 * thread-safe.
 */
final class PrefillTimeEstimator {
    private static final double DECAY_PER_SAMPLE = 0.995;

    /** Minimum variance in squared tokens; samples of nearly equal size do not define a slope. */
    private static final double MIN_TOKENS_VARIANCE = 2_500;

    private static final double MIN_SAMPLES = 20;
    private static final double MIN_TOKEN_MILLIS = 0.002;
    private static final double MAX_TOKEN_MILLIS = 1;

    private final double mInitialTokenMillis;
    private double mWeightSum;
    private double mTokensSum;
    private double mMillisSum;
    private double mTokensSquaredSum;
    private double mTokensTimesMillisSum;

    PrefillTimeEstimator(double initialTokenMillis) {
        mInitialTokenMillis = initialTokenMillis;
    }

    /** Records the milliseconds to the first token for a number of computed prompt tokens. */
    void observe(double tokens, double millis) {
        mWeightSum = mWeightSum * DECAY_PER_SAMPLE + 1;
        mTokensSum = mTokensSum * DECAY_PER_SAMPLE + tokens;
        mMillisSum = mMillisSum * DECAY_PER_SAMPLE + millis;
        mTokensSquaredSum = mTokensSquaredSum * DECAY_PER_SAMPLE + tokens * tokens;
        mTokensTimesMillisSum = mTokensTimesMillisSum * DECAY_PER_SAMPLE + tokens * millis;
    }

    /** Returns the estimated time per prompt token in milliseconds. */
    double tokenMillis() {
        if (mWeightSum < MIN_SAMPLES) {
            return mInitialTokenMillis;
        }
        double meanTokens = mTokensSum / mWeightSum;
        double variance = mTokensSquaredSum / mWeightSum - meanTokens * meanTokens;
        if (variance < MIN_TOKENS_VARIANCE) {
            return mInitialTokenMillis;
        }
        double slope =
                (mTokensTimesMillisSum / mWeightSum - meanTokens * mMillisSum / mWeightSum)
                        / variance;
        return Math.max(MIN_TOKEN_MILLIS, Math.min(MAX_TOKEN_MILLIS, slope));
    }
}
