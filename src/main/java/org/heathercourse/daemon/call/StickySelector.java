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
 * The simplest useful selector: the last target of the program, else the one with the fewest
 * attempts of this daemon, in its own zone if possible. Safe for use by several threads.
 */
public final class StickySelector implements TargetSelector {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final long MAX_PROGRAMS = 100_000;

    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final Map<TargetId, AtomicInteger> mOutstanding = new ConcurrentHashMap<>();
    private final Cache<ProgramId, TargetId> mLast =
            Caffeine.newBuilder().maximumSize(MAX_PROGRAMS).build();

    /** Creates a selector over the declared targets. */
    @Inject
    public StickySelector(ConfigSource config, ShardDirectory shards) {
        mConfig = config;
        mShards = shards;
    }

    @Override
    public Either<HeathercourseException, Choice> select(Request request) {
        List<TargetSpec> fit =
                mConfig.current().targetsOf(request.service()).stream()
                        .filter(t -> t.state().takesNewWork())
                        .filter(t -> request.model().isEmpty() || serves(t, request.model()))
                        .filter(t -> !request.excluded().contains(t.target()))
                        .filter(t -> outstanding(t).get() < limit(t))
                        .toList();
        TargetId last = request.program() == null ? null : mLast.getIfPresent(request.program());
        Zone own = mShards.self().zone();
        return fit.stream()
                .min(
                        Comparator.<TargetSpec>comparingInt(t -> t.target().equals(last) ? 0 : 1)
                                .thenComparingInt(t -> t.zone().equals(own) ? 0 : 1)
                                .thenComparingInt(t -> outstanding(t).get())
                                .thenComparing(TargetSpec::target))
                .<Either<HeathercourseException, Choice>>map(
                        t -> Either.right(new Choice(t, request.requestClass().ordinal())))
                .orElseGet(() -> Either.left(noTarget(request)));
    }

    private static boolean serves(TargetSpec target, String model) {
        return target.models().isEmpty() || target.models().contains(model);
    }

    private static int limit(TargetSpec target) {
        return target.maxConcurrency() <= 0 ? Integer.MAX_VALUE : target.maxConcurrency();
    }

    private static HeathercourseException noTarget(Request request) {
        return HeathercourseException.builder(ErrorKind.OVERLOADED)
                .message("no target of service " + request.service() + " takes work at present")
                .remedy("try again later, or declare more targets")
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    @Override
    public void onDispatched(Request request, Choice choice) {
        outstanding(choice.target()).incrementAndGet();
        if (request.program() != null) {
            mLast.put(request.program(), choice.target().target());
        }
    }

    @Override
    public void onSucceeded(
            Request request, Choice choice, Usage usage, long firstTokenMillis, long totalMillis) {
        outstanding(choice.target()).decrementAndGet();
    }

    @Override
    public void onFailed(Request request, Choice choice, TargetFailure failure) {
        outstanding(choice.target()).decrementAndGet();
    }

    private AtomicInteger outstanding(TargetSpec target) {
        return mOutstanding.computeIfAbsent(target.target(), t -> new AtomicInteger());
    }
}
