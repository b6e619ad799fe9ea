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
 * Chooses targets with the {@link Scheduler} and tells it how attempts went.
 *
 * <p>Safe for use by several threads; does not block.
 */
public final class SchedulerSelector implements TargetSelector {
    private static final WorkspaceId OPEN_ROUTES = new WorkspaceId("open");

    private final Scheduler mScheduler;
    private final ConfigSource mConfig;
    private final Ticker mTicker;
    private final Clock mClock;
    private final AtomicLong mNextAttempt = new AtomicLong();
    private final Map<TargetId, AtomicLong> mRunning = new ConcurrentHashMap<>();
    // Choices are told apart by identity; a choice that leads to no attempt is forgotten.
    private final Cache<Choice, Attempt> mAttempts = Caffeine.newBuilder().weakKeys().build();

    private record Attempt(long number, PickRequest request, Pick pick) {}

    /**
     * Creates a selector.
     *
     * @param scheduler the decisions
     * @param config the configuration in force
     * @param ticker time source of the decisions
     * @param clock wall clock, which orders calls of different daemons at an engine
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
            return Either.left(refused(pick.getLeft()));
        }
        Optional<TargetSpec> target =
                mConfig.current().targets().stream()
                        .filter(t -> t.target().equals(pick.get().target()))
                        .filter(t -> t.state().takesNewWork())
                        .findFirst();
        if (target.isEmpty()) {
            return Either.left(leftMeanwhile(pick.get().target()));
        }
        Pick picked = pick.get();
        Choice choice =
                new Choice(
                        target.get(),
                        picked.priority(),
                        picked.expectedMillis(),
                        picked.cachedTokens());
        mAttempts.put(choice, new Attempt(mNextAttempt.incrementAndGet(), pickRequest, picked));
        return Either.right(choice);
    }

    private PickRequest toPickRequest(Request request) {
        long number = mNextAttempt.incrementAndGet();
        ProgramId program =
                request.program() == null ? new ProgramId("call:" + number) : request.program();
        WorkspaceId workspace = request.workspace() == null ? OPEN_ROUTES : request.workspace();
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

    private static HeathercourseException refused(Refusal refusal) {
        return HeathercourseException.builder(refusal.kind())
                .message(refusal.reason())
                .remedy("repeat the request after the stated time")
                .retryAfterMillis(refusal.retryAfterMillis())
                .build();
    }

    private static HeathercourseException leftMeanwhile(TargetId target) {
        return refused(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "target " + target + " has left, expected another one",
                        100));
    }

    @Override
    public void onDispatched(Request request, Choice choice) {
        running(choice).incrementAndGet();
        Attempt attempt = mAttempts.getIfPresent(choice);
        if (attempt != null) {
            mScheduler.onDispatched(
                    attempt.number(), attempt.request(), attempt.pick(), mTicker.readMillis());
        }
    }

    @Override
    public void onSucceeded(
            Request request, Choice choice, Usage usage, long firstTokenMillis, long totalMillis) {
        running(choice).decrementAndGet();
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
        running(choice).decrementAndGet();
        Attempt attempt = mAttempts.getIfPresent(choice);
        if (attempt != null) {
            boolean targetAtFault = failure.kind() != TargetFailure.Kind.CANCELLED;
            mScheduler.onFailed(attempt.number(), targetAtFault, mTicker.readMillis());
        }
    }

    private AtomicLong running(Choice choice) {
        return mRunning.computeIfAbsent(choice.target().target(), t -> new AtomicLong());
    }

    /** Returns the calls that this daemon runs on a target. */
    public long runningCallCount(TargetId target) {
        AtomicLong running = mRunning.get(target);
        return running == null ? 0 : running.get();
    }

    /** Returns whether a target is given calls at present, as far as its health is concerned. */
    public boolean acceptsCalls(TargetId target) {
        return mScheduler.acceptsCalls(target, mTicker.readMillis());
    }
}
