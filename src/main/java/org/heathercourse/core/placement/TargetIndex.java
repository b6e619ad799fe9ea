package org.heathercourse.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;

/**
 * Index of a daemon's targets by identity, by number, and by service and model.
 *
 * <p>A target keeps its number until the process ends, also when it leaves the configuration. Not
 * thread-safe.
 */
final class TargetIndex {
    private static final TargetView[] NO_TARGETS = {};

    /** Maximum random draws per requested target of a sample. */
    private static final int DRAWS_PER_TARGET = 4;

    private static final int FILL_SAMPLE_SIZE = 4;

    private final RandomGenerator mRandom;
    private final List<TargetView> mViews = new ArrayList<>();
    private final Map<TargetId, TargetView> mById = new HashMap<>();
    private final Map<Key, TargetView[]> mEligible = new HashMap<>();

    private record Key(ServiceId service, String model) {}

    TargetIndex(RandomGenerator random) {
        mRandom = random;
    }

    void configure(List<TargetSpec> specs, Function<TargetSpec, LinkCost> links) {
        Set<TargetId> configuredIds = new HashSet<>();
        for (TargetSpec spec : specs) {
            configuredIds.add(spec.target());
            TargetView view = mById.get(spec.target());
            if (view == null) {
                view = new TargetView(mViews.size(), spec);
                mViews.add(view);
                mById.put(spec.target(), view);
            }
            view.configure(spec, links.apply(spec));
        }
        for (TargetView view : mViews) {
            if (!configuredIds.contains(view.spec().target())) {
                view.markRemoved();
            }
        }
        mEligible.clear();
    }

    void onReport(TargetId target, LoadReport report, long nowMillis) {
        TargetView view = mById.get(target);
        if (view != null && view.onReport(report, nowMillis)) {
            mEligible.clear();
        }
    }

    /** Returns the view of a target; null if the target is unknown. */
    TargetView get(TargetId target) {
        return mById.get(target);
    }

    TargetView getByIndex(int index) {
        return mViews.get(index);
    }

    /** Returns the targets of a service that are up and serve the model. */
    TargetView[] eligible(ServiceId service, String model) {
        return mEligible.computeIfAbsent(new Key(service, model), this::findEligible);
    }

    private TargetView[] findEligible(Key key) {
        return mViews.stream()
                .filter(v -> v.isEligible() && v.spec().service().equals(key.service()))
                .filter(v -> v.hasModel(key.model()))
                .toList()
                .toArray(NO_TARGETS);
    }

    /**
     * Adds random usable targets of {@code eligible} to {@code sampled} up to the wanted size. The
     * sample may stay smaller, but it is empty only if no target is usable.
     */
    void sample(
            TargetView[] eligible,
            List<TargetView> sampled,
            int wantedSize,
            Predicate<TargetView> usable) {
        if (eligible.length <= wantedSize + DRAWS_PER_TARGET) {
            sampleSmall(eligible, sampled, wantedSize, usable);
            return;
        }
        int draws = DRAWS_PER_TARGET * (wantedSize - sampled.size());
        for (int i = 0; i < draws && sampled.size() < wantedSize; i++) {
            TargetView view = eligible[mRandom.nextInt(eligible.length)];
            if (usable.test(view) && !sampled.contains(view)) {
                sampled.add(view);
            }
        }
        // All random draws may hit unusable targets; the scan avoids a refusal in this case.
        int start = mRandom.nextInt(eligible.length);
        for (int i = 0; i < eligible.length && sampled.isEmpty(); i++) {
            TargetView view = eligible[(start + i) % eligible.length];
            if (usable.test(view)) {
                sampled.add(view);
            }
        }
    }

    /** Samples without replacement from all usable targets, so that none is missed. */
    private void sampleSmall(
            TargetView[] eligible,
            List<TargetView> sampled,
            int wantedSize,
            Predicate<TargetView> usable) {
        List<TargetView> usableViews = new ArrayList<>(eligible.length);
        for (TargetView view : eligible) {
            if (usable.test(view) && !sampled.contains(view)) {
                usableViews.add(view);
            }
        }
        while (sampled.size() < wantedSize && !usableViews.isEmpty()) {
            sampled.add(usableViews.remove(mRandom.nextInt(usableViews.size())));
        }
    }

    /** Returns the smallest cache fill ratio among a few random targets; 1 if none fits. */
    double sampledMinFillRatio(ServiceId service) {
        double minRatio = 1;
        for (int i = 0; i < FILL_SAMPLE_SIZE && !mViews.isEmpty(); i++) {
            TargetView view = mViews.get(mRandom.nextInt(mViews.size()));
            if (view.isEligible() && view.spec().service().equals(service)) {
                minRatio = Math.min(minRatio, view.cacheFillRatio());
            }
        }
        return minRatio;
    }
}
