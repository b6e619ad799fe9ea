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
 * The targets that a daemon knows, found by identity, number, or service and model.
 *
 * <p>Numbers stay with a target for as long as the process lives. Not safe for several threads.
 */
final class TargetIndex {
    private static final TargetView[] NONE = {};

    /** Random draws per wanted target before a sample is given up. */
    private static final int DRAWS = 4;

    private static final int FILL_SAMPLE = 4;

    private final RandomGenerator mRandom;
    private final List<TargetView> mViews = new ArrayList<>();
    private final Map<TargetId, TargetView> mById = new HashMap<>();
    private final Map<Key, TargetView[]> mEligible = new HashMap<>();

    private record Key(ServiceId service, String model) {}

    TargetIndex(RandomGenerator random) {
        mRandom = random;
    }

    void configure(List<TargetSpec> specs, Function<TargetSpec, LinkCost> links) {
        Set<TargetId> present = new HashSet<>();
        for (TargetSpec spec : specs) {
            present.add(spec.target());
            TargetView view = mById.get(spec.target());
            if (view == null) {
                view = new TargetView(mViews.size(), spec);
                mViews.add(view);
                mById.put(spec.target(), view);
            }
            view.configure(spec, links.apply(spec));
        }
        for (TargetView view : mViews) {
            if (!present.contains(view.spec().target())) {
                view.remove();
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

    /** Returns the target, or null if it is unknown. */
    TargetView get(TargetId target) {
        return mById.get(target);
    }

    TargetView at(int index) {
        return mViews.get(index);
    }

    /** Returns the targets of a service that are up and have the model. */
    TargetView[] eligible(ServiceId service, String model) {
        return mEligible.computeIfAbsent(new Key(service, model), this::collect);
    }

    private TargetView[] collect(Key key) {
        return mViews.stream()
                .filter(v -> v.takesNewWork() && v.spec().service().equals(key.service()))
                .filter(v -> v.offers(key.model()))
                .toList()
                .toArray(NONE);
    }

    /** Adds random targets out of {@code from} until {@code into} has the wanted size. */
    void sample(
            TargetView[] from, List<TargetView> into, int wanted, Predicate<TargetView> usable) {
        if (from.length <= wanted + DRAWS) {
            sampleSmall(from, into, wanted, usable);
            return;
        }
        int draws = DRAWS * (wanted - into.size());
        for (int i = 0; i < draws && into.size() < wanted; i++) {
            TargetView view = from[mRandom.nextInt(from.length)];
            if (usable.test(view) && !into.contains(view)) {
                into.add(view);
            }
        }
        // Random draws can all hit unusable targets; a call is never refused for that reason.
        int start = mRandom.nextInt(from.length);
        for (int i = 0; i < from.length && into.isEmpty(); i++) {
            TargetView view = from[(start + i) % from.length];
            if (usable.test(view)) {
                into.add(view);
            }
        }
    }

    /** Looks at each target in turn from a random start, so that no usable one is missed. */
    private void sampleSmall(
            TargetView[] from, List<TargetView> into, int wanted, Predicate<TargetView> usable) {
        List<TargetView> usableViews = new ArrayList<>(from.length);
        for (TargetView view : from) {
            if (usable.test(view) && !into.contains(view)) {
                usableViews.add(view);
            }
        }
        while (into.size() < wanted && !usableViews.isEmpty()) {
            into.add(usableViews.remove(mRandom.nextInt(usableViews.size())));
        }
    }

    /** Returns the least cache use among a few random targets of a service. */
    double sampledLeastFill(ServiceId service) {
        double least = 1;
        for (int i = 0; i < FILL_SAMPLE && !mViews.isEmpty(); i++) {
            TargetView view = mViews.get(mRandom.nextInt(mViews.size()));
            if (view.takesNewWork() && view.spec().service().equals(service)) {
                least = Math.min(least, view.cacheFill());
            }
        }
        return least;
    }
}
