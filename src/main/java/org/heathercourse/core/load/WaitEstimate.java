package org.heathercourse.core.load;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetLoad;
import org.heathercourse.core.target.TargetSelector.SelectionContext;
import org.heathercourse.core.target.WaitEstimator;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Estimates waits from the work of all gateways; without a usable reply of the load owner, from the
 * requests of this gateway alone.
 *
 * <p>Load pattern: each of many gateways sees one request in a hundred, and demand swings by half
 * of its mean within seconds. Noise in proportion to the age of what is known keeps gateways with
 * the same reply from choosing the same target. Confined to one thread.
 */
public final class WaitEstimate implements WaitEstimator {
    /**
     * Noise per time since the reports, as a ratio. A wait changes by as much as the time that has
     * passed, or less; noise of a quarter of it already moved programs from targets that had their
     * prompts. At idle targets there is none, as it would send requests to other zones.
     */
    private static final double NOISE_RATIO = 0.1;

    /**
     * Cost of a prompt that is computed again, relative to its computation and in addition to it:
     * the target has less time for all requests that follow, and later turns of the program find
     * only a part of their prompt at their preferred target. Without this cost each gateway gains
     * by moving programs, and the recomputed prompts overload all targets.
     */
    private static final double DISPLACEMENT_RATIO = 3;

    /** The same for each request at the target, as all of them wait for the prompt. */
    private static final double DISPLACEMENT_RATIO_PER_REQUEST = 2;

    /**
     * Nominal run time that a request loses at a target below the median speed. A target that fails
     * or stalls has little work, so its wait alone would attract requests.
     */
    private static final double OWN_RUN_MILLIS =
            EngineCost.runMillis(0, EngineCost.DEFAULT_OUTPUT_TOKENS);

    private final Supplier<SharedLoad> mShared;
    private final OwnWork mOwn;
    private final SuspendAwareClock mClock;
    private final RandomGenerator mRandom;
    private final WaitEstimator mFallback;

    /**
     * Creates an estimate.
     *
     * @param shared returns the last reply of the load owner; null if there is none or load
     *     information is not shared
     * @param own work of this gateway
     * @param clock measures the age of the reply
     * @param random source of noise
     * @param fallback estimates waits without a usable reply
     */
    public WaitEstimate(
            Supplier<SharedLoad> shared,
            OwnWork own,
            SuspendAwareClock clock,
            RandomGenerator random,
            WaitEstimator fallback) {
        mShared = shared;
        mOwn = own;
        mClock = clock;
        mRandom = random;
        mFallback = fallback;
    }

    @Override
    public double waitMillis(
            Target target, TargetLoad load, boolean preferred, SelectionContext context) {
        SharedLoad shared = mShared.get();
        if (shared == null || !shared.isUsable(mClock)) {
            return mFallback.waitMillis(target, load, preferred, context);
        }
        int slots = Math.max(1, target.slots());
        TargetWork work = workAt(shared, target, context.nowMillis());
        double nominal = EngineCost.waitMillis(work, slots);
        if (context.affinityKey() != null && !preferred) {
            nominal +=
                    EngineCost.promptMillis(context.promptTokens())
                            * (DISPLACEMENT_RATIO
                                    + DISPLACEMENT_RATIO_PER_REQUEST * work.requests());
        }
        SpeedTable speeds = shared.speeds();
        double speed = speeds.speed(target.incarnation(), target.service());
        double utilization = Math.min(1, (double) work.requests() / slots);
        double noiseMillis =
                NOISE_RATIO * utilization * shared.currentAgeMillis(mClock) * mRandom.nextDouble();
        double median = speeds.median(target.service());
        double slownessMillis = Math.max(0, OWN_RUN_MILLIS / speed - OWN_RUN_MILLIS / median);
        return nominal / speed + slownessMillis + noiseMillis;
    }

    /**
     * Returns the run time of a request including its wait, as expected of a target of nominal
     * speed, in milliseconds; 0 if the load of the target is unknown.
     *
     * @param target target of the request
     * @param promptTokens tokens of the prompt
     * @param outputTokens maximum tokens of the output
     * @param nowMillis current time of the ticker
     */
    public double expectedMillis(
            Target target, long promptTokens, long outputTokens, long nowMillis) {
        SharedLoad shared = mShared.get();
        if (shared == null || !shared.isUsable(mClock)) {
            return 0;
        }
        return EngineCost.waitMillis(workAt(shared, target, nowMillis), Math.max(1, target.slots()))
                + EngineCost.runMillis(promptTokens, outputTokens);
    }

    /** Returns whether the last reply of the load owner is used. */
    public boolean isShared() {
        SharedLoad shared = mShared.get();
        return shared != null && shared.isUsable(mClock);
    }

    /** Returns the age of the last reply of the load owner in milliseconds; -1 if there is none. */
    public long ageMillis() {
        SharedLoad shared = mShared.get();
        return shared == null ? -1 : shared.currentAgeMillis(mClock);
    }

    private TargetWork workAt(SharedLoad shared, Target target, long nowMillis) {
        return shared.othersAt(target.incarnation()).plus(mOwn.at(target, nowMillis));
    }
}
