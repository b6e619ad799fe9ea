package org.heathercourse.core.placement;

/**
 * Learns the time to compute a prompt token from times to the first token.
 *
 * <p>The time to the first token also holds waits, which do not depend on the prompt. The slope of
 * a decaying linear regression over the computed tokens leaves them out, where a plain ratio counts
 * them and is several times too high for short prompts. Not safe for several threads.
 */
final class PromptSpeed {
    private static final double DECAY = 0.995;

    /** Samples of nearly equal size say nothing about the slope. */
    private static final double MIN_VARIANCE = 2_500;

    private static final double MIN_SAMPLES = 20;
    private static final double MIN_MILLIS = 0.002;
    private static final double MAX_MILLIS = 1;

    private final double mInitialMillis;
    private double mWeight;
    private double mTokens;
    private double mMillis;
    private double mTokensSquared;
    private double mProduct;

    PromptSpeed(double initialMillis) {
        mInitialMillis = initialMillis;
    }

    /** Takes in the time to the first token of a call with that many computed prompt tokens. */
    void observe(double tokens, double millis) {
        mWeight = mWeight * DECAY + 1;
        mTokens = mTokens * DECAY + tokens;
        mMillis = mMillis * DECAY + millis;
        mTokensSquared = mTokensSquared * DECAY + tokens * tokens;
        mProduct = mProduct * DECAY + tokens * millis;
    }

    /** Returns the time of a token in milliseconds. */
    double tokenMillis() {
        if (mWeight < MIN_SAMPLES) {
            return mInitialMillis;
        }
        double meanTokens = mTokens / mWeight;
        double variance = mTokensSquared / mWeight - meanTokens * meanTokens;
        if (variance < MIN_VARIANCE) {
            return mInitialMillis;
        }
        double slope = (mProduct / mWeight - meanTokens * mMillis / mWeight) / variance;
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, slope));
    }
}
