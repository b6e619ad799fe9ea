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

/** The scheduler of the daemons: one instance per daemon, each with its own knowledge. */
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
            int daemon, PickRequest request, double remainingMillis, long nowMillis) {
        return mSchedulers[daemon].pick(request, nowMillis);
    }

    @Override
    public boolean tryRetry(int daemon) {
        return mSchedulers[daemon].tryAcquireRetry(RetrySafety.IDEMPOTENT, false);
    }

    @Override
    public boolean sharesRates() {
        return true;
    }

    @Override
    public void report(int daemon, TargetId target, LoadReport report, long nowMillis) {
        mSchedulers[daemon].onLoadReport(target, report, nowMillis);
    }

    @Override
    public void cacheEvents(
            int daemon, TargetId target, List<CacheChange> changes, long nowMillis) {
        mSchedulers[daemon].onCacheEvents(target, changes, nowMillis);
    }

    @Override
    public void dispatched(
            int daemon, long attempt, PickRequest request, Pick pick, long nowMillis) {
        mSchedulers[daemon].onDispatched(attempt, request, pick, nowMillis);
    }

    @Override
    public void firstToken(int daemon, long attempt, long nowMillis) {
        mSchedulers[daemon].onFirstToken(attempt, nowMillis);
    }

    @Override
    public void finished(int daemon, long attempt, Usage usage, long nowMillis) {
        mSchedulers[daemon].onFinished(attempt, usage, nowMillis);
    }

    @Override
    public void failed(int daemon, long attempt, long nowMillis) {
        mSchedulers[daemon].onFailed(attempt, true, nowMillis);
    }

    @Override
    public PauseCacheAction pause(int daemon, String session, long pauseMillis, long nowMillis) {
        return mSchedulers[daemon].cacheActionOnPause(session, pauseMillis, nowMillis);
    }

    @Override
    public List<TargetId> ended(int daemon, ProgramId program, List<String> sessions) {
        return mSchedulers[daemon].onProgramEnded(program, sessions);
    }
}
