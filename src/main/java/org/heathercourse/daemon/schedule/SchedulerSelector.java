package org.heathercourse.daemon.schedule;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;
import org.heathercourse.core.placement.Scheduler;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.TargetSelector;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.platform.TargetFailure;

/**
 * Selects targets with the {@link Scheduler} and reports the results of attempts to it.
 *
 * <p>Safe for use by several threads; does not block.
 */
public final class SchedulerSelector implements TargetSelector {
    private static final WorkspaceId OPEN_WORKSPACE = new WorkspaceId("open");

    private final Scheduler mScheduler;
    private final ConfigSource mConfig;
    private final Ticker mTicker;
    private final Clock mClock;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final Map<TargetId, AtomicLong> mRunningCalls = new ConcurrentHashMap<>();
    // Weak keys compare by identity, and drop choices that lead to no attempt.
    private final Cache<Choice, Attempt> mAttempts = Caffeine.newBuilder().weakKeys().build();

    private record Attempt(long number, PickRequest request, Pick pick) {}

    /**
     * Creates a selector.
     *
     * @param scheduler scheduler that selects the targets
     * @param config source of the current configuration
     * @param ticker monotonic time source of the scheduler
     * @param clock wall clock, whose time orders calls of different daemons at an engine
     */
    public SchedulerSelector(Scheduler scheduler, ConfigSource config, Ticker ticker, Clock clock) {
        mScheduler = scheduler;
        mConfig = config;
        mTicker = ticker;
        mClock = clock;
    }

    @Override
    public Either<HeathercourseException, Choice> select(Request request) {
        PickRequest pickRequest = toPickRequest(request);
        Either<Refusal, Pick> pick = mScheduler.pick(pickRequest, mTicker.readMillis());
        if (pick.isLeft()) {
            return Either.left(toError(pick.getLeft()));
        }
        Optional<TargetSpec> target =
                mConfig.current().targets().stream()
                        .filter(t -> t.target().equals(pick.get().target()))
                        .filter(t -> t.state().takesNewWork())
                        .findFirst();
        if (target.isEmpty()) {
            return Either.left(targetUnavailable(pick.get().target()));
        }
        Pick picked = pick.get();
        Choice choice =
                new Choice(
                        target.get(),
                        picked.priority(),
                        picked.expectedMillis(),
                        picked.cachedTokens());
        mAttempts.put(choice, new Attempt(mLastNumber.incrementAndGet(), pickRequest, picked));
        return Either.right(choice);
    }

    private PickRequest toPickRequest(Request request) {
        long number = mLastNumber.incrementAndGet();
        ProgramId program =
                request.program() == null ? new ProgramId("call:" + number) : request.program();
        WorkspaceId workspace = request.workspace() == null ? OPEN_WORKSPACE : request.workspace();
        return PickRequest.builder(program, workspace, request.service())
                .model(request.model())
                .session(request.session())
                .requestClass(request.requestClass())
                .promptTokens(request.promptTokens())
                .deadlineMillis(request.remainingMillis())
                .epochMillis(mClock.millis())
                .excluded(request.excluded())
                .build();
    }

    private static HeathercourseException toError(Refusal refusal) {
        return HeathercourseException.builder(refusal.kind())
                .message(refusal.reason())
                .remedy("repeat the request after the stated time")
                .retryAfterMillis(refusal.retryAfterMillis())
                .build();
    }

    private static HeathercourseException targetUnavailable(TargetId target) {
        return toError(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "target " + target + " is draining, retired or no longer declared",
                        100));
    }

    @Override
    public void onDispatched(Request request, Choice choice) {
        runningCounter(choice).incrementAndGet();
        Attempt attempt = mAttempts.getIfPresent(choice);
        if (attempt != null) {
            mScheduler.onDispatched(
                    attempt.number(), attempt.request(), attempt.pick(), mTicker.readMillis());
        }
    }

    @Override
    public void onSucceeded(
            Request request, Choice choice, Usage usage, long firstTokenMillis, long totalMillis) {
        runningCounter(choice).decrementAndGet();
        Attempt attempt = mAttempts.getIfPresent(choice);
        if (attempt != null) {
            long now = mTicker.readMillis();
            long firstToken = now - Math.max(0, totalMillis - firstTokenMillis);
            mScheduler.onFirstToken(attempt.number(), firstToken);
            mScheduler.onFinished(attempt.number(), usage, now);
        }
    }

    @Override
    public void onFailed(Request request, Choice choice, TargetFailure failure) {
        runningCounter(choice).decrementAndGet();
        Attempt attempt = mAttempts.getIfPresent(choice);
        if (attempt != null) {
            boolean targetAtFault = failure.kind() != TargetFailure.Kind.CANCELLED;
            mScheduler.onFailed(attempt.number(), targetAtFault, mTicker.readMillis());
        }
    }

    private AtomicLong runningCounter(Choice choice) {
        return mRunningCalls.computeIfAbsent(choice.target().target(), t -> new AtomicLong());
    }

    /** Returns the number of calls that this daemon runs on a target. */
    public long runningCallCount(TargetId target) {
        AtomicLong running = mRunningCalls.get(target);
        return running == null ? 0 : running.get();
    }

    /** Returns whether the health of a target permits calls at present. */
    public boolean acceptsCalls(TargetId target) {
        return mScheduler.acceptsCalls(target, mTicker.readMillis());
    }
}
