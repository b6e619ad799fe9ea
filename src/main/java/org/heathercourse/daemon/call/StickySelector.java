package org.heathercourse.daemon.call;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import javax.inject.Inject;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.Zone;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.platform.TargetFailure;

/**
 * Selector that prefers the last target of the program, then targets in the zone of this daemon,
 * then the target with the fewest attempts of this daemon in flight. Safe for use by several
 * threads.
 */
public final class StickySelector implements TargetSelector {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final long MAX_PROGRAMS = 100_000;

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final Map<TargetId, AtomicInteger> mOutstandingAttempts = new ConcurrentHashMap<>();
    private final Cache<ProgramId, TargetId> mLastTargets =
            Caffeine.newBuilder().maximumSize(MAX_PROGRAMS).build();

    /** Creates a selector for the targets of the current configuration. */
    @Inject
    public StickySelector(ConfigSource config, ShardDirectory shards) {
        mConfig = config;
        mShards = shards;
    }

    @Override
    public Either<HeathercourseException, Choice> select(Request request) {
        List<TargetSpec> candidates =
                mConfig.current().targetsOf(request.service()).stream()
                        .filter(t -> t.state().takesNewWork())
                        .filter(t -> request.model().isEmpty() || servesModel(t, request.model()))
                        .filter(t -> !request.excluded().contains(t.target()))
                        .filter(t -> outstandingAttempts(t).get() < maxConcurrency(t))
                        .toList();
        TargetId lastTarget =
                request.program() == null ? null : mLastTargets.getIfPresent(request.program());
        Zone ownZone = mShards.self().zone();
        return candidates.stream()
                .min(
                        Comparator.<TargetSpec>comparingInt(
                                        t -> t.target().equals(lastTarget) ? 0 : 1)
                                .thenComparingInt(t -> t.zone().equals(ownZone) ? 0 : 1)
                                .thenComparingInt(t -> outstandingAttempts(t).get())
                                .thenComparing(TargetSpec::target))
                .<Either<HeathercourseException, Choice>>map(
                        t -> Either.right(new Choice(t, request.requestClass().ordinal())))
                .orElseGet(() -> Either.left(noTarget(request)));
    }

    private static boolean servesModel(TargetSpec target, String model) {
        return target.models().isEmpty() || target.models().contains(model);
    }

    private static int maxConcurrency(TargetSpec target) {
        return target.maxConcurrency() <= 0 ? Integer.MAX_VALUE : target.maxConcurrency();
    }

    private static HeathercourseException noTarget(Request request) {
        return HeathercourseException.builder(ErrorKind.OVERLOADED)
                .message("no target of service " + request.service() + " accepts calls at present")
                .remedy("try again later, or declare more targets")
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    @Override
    public void onDispatched(Request request, Choice choice) {
        outstandingAttempts(choice.target()).incrementAndGet();
        if (request.program() != null) {
            mLastTargets.put(request.program(), choice.target().target());
        }
    }

    @Override
    public void onSucceeded(
            Request request, Choice choice, Usage usage, long firstTokenMillis, long totalMillis) {
        outstandingAttempts(choice.target()).decrementAndGet();
    }

    @Override
    public void onFailed(Request request, Choice choice, TargetFailure failure) {
        outstandingAttempts(choice.target()).decrementAndGet();
    }

    private AtomicInteger outstandingAttempts(TargetSpec target) {
        return mOutstandingAttempts.computeIfAbsent(target.target(), t -> new AtomicInteger());
    }
}
