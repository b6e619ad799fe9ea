package org.heathercourse.testing.bench;

import io.vavr.control.Either;
import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;
import org.heathercourse.core.placement.PauseCacheAction;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;
import org.heathercourse.core.placement.Scheduler;
import org.heathercourse.core.placement.SchedulerSettings;

/**
 * Policy of the daemons: one {@link Scheduler} per daemon, each with its own view of the engines.
 */
final class SchedulerRouter implements Router {
    private final Scheduler[] mSchedulers;

    SchedulerRouter(Scenario scenario, long seed) {
        mSchedulers = new Scheduler[scenario.daemons()];
        for (int i = 0; i < mSchedulers.length; i++) {
            mSchedulers[i] =
                    new Scheduler(
                            scenario.daemonZone(i),
                            SchedulerSettings.DEFAULT,
                            new SplittableRandom(seed + i));
        }
    }

    @Override
    public void configure(DeploymentConfig config, long nowMillis) {
        for (Scheduler scheduler : mSchedulers) {
            scheduler.onConfig(config, mSchedulers.length, nowMillis);
        }
    }

    @Override
    public Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingWorkMillis, long nowMillis) {
        return mSchedulers[daemon].pick(request, nowMillis);
    }

    @Override
    public boolean tryAcquireRetry(int daemon) {
        return mSchedulers[daemon].tryAcquireRetry(RetrySafety.IDEMPOTENT, false);
    }

    @Override
    public boolean enforcesFleetRate() {
        return true;
    }

    @Override
    public void onLoadReport(int daemon, TargetId target, LoadReport report, long nowMillis) {
        mSchedulers[daemon].onLoadReport(target, report, nowMillis);
    }

    @Override
    public void onCacheEvents(
            int daemon, TargetId target, List<CacheChange> changes, long nowMillis) {
        mSchedulers[daemon].onCacheEvents(target, changes, nowMillis);
    }

    @Override
    public void onDispatched(
            int daemon, long attempt, PickRequest request, Pick pick, long nowMillis) {
        mSchedulers[daemon].onDispatched(attempt, request, pick, nowMillis);
    }

    @Override
    public void onFirstToken(int daemon, long attempt, long nowMillis) {
        mSchedulers[daemon].onFirstToken(attempt, nowMillis);
    }

    @Override
    public void onFinished(int daemon, long attempt, Usage usage, long nowMillis) {
        mSchedulers[daemon].onFinished(attempt, usage, nowMillis);
    }

    @Override
    public void onFailed(int daemon, long attempt, long nowMillis) {
        mSchedulers[daemon].onFailed(attempt, true, nowMillis);
    }

    @Override
    public PauseCacheAction cacheActionOnPause(
            int daemon, String session, long pauseMillis, long nowMillis) {
        return mSchedulers[daemon].cacheActionOnPause(session, pauseMillis, nowMillis);
    }

    @Override
    public List<TargetId> onProgramEnded(int daemon, ProgramId program, List<String> sessions) {
        return mSchedulers[daemon].onProgramEnded(program, sessions);
    }
}
