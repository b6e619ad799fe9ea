package org.heathercourse.daemon.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Predicate;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.TargetAddress;

/**
 * Ends idle programs, and releases the engine cache of ended programs until each target has
 * confirmed. Derives the pending releases from the program log alone, so that a new owner continues
 * them. Safe for use by several threads.
 */
final class ProgramMaintenance {
    private static final EventLog LOG = EventLog.of(ProgramMaintenance.class);
    private static final long INITIAL_BACKOFF_MILLIS = 1000;
    private static final long MAX_BACKOFF_MILLIS = 60_000;

    private record Release(ProgramId program, TargetId target) {}

    /**
     * State of one release: the time before which it is not tried again, in milliseconds, and the
     * number of failures.
     */
    private record Progress(long notBeforeMillis, int failures, boolean running) {}

    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;
    private final Executor mWorkers;
    private final Predicate<ProgramId> mHasActiveCall;
    // Guarded by this.
    private final Map<Release, Progress> mReleases = new HashMap<>();
    private final Map<ProgramId, Long> mLastUsedMillis = new HashMap<>();

    ProgramMaintenance(
            CallDependencies dependencies,
            ProgramRecorder recorder,
            Executor workers,
            Predicate<ProgramId> hasActiveCall) {
        mDependencies = dependencies;
        mProgramRecorder = recorder;
        mWorkers = workers;
        mHasActiveCall = hasActiveCall;
    }

    /** Records the use of a program, and starts its releases if it has ended. */
    void onUsed(ProgramId program) {
        synchronized (this) {
            mLastUsedMillis.put(program, mDependencies.ticker().readMillis());
        }
        mProgramRecorder.find(program).filter(ProgramState::ended).ifPresent(this::startReleases);
    }

    /** Checks all programs of the shards owned by this daemon; called periodically. */
    void run() {
        Set<ProgramId> activePrograms = new HashSet<>();
        for (ProgramState state : mDependencies.log().activePrograms()) {
            activePrograms.add(state.program());
            if (mHasActiveCall.test(state.program())) {
                continue;
            }
            if (state.ended()) {
                startReleases(state);
            } else if (isIdle(state.program())) {
                endIfIdle(state.program());
            }
        }
        synchronized (this) {
            mLastUsedMillis.keySet().retainAll(activePrograms);
            mReleases.keySet().removeIf(r -> !activePrograms.contains(r.program()));
        }
    }

    private synchronized boolean isIdle(ProgramId program) {
        long nowMillis = mDependencies.ticker().readMillis();
        Long lastUsedMillis = mLastUsedMillis.putIfAbsent(program, nowMillis);
        return lastUsedMillis != null
                && nowMillis - lastUsedMillis
                        >= mDependencies.settings().programIdleTimeoutMillis();
    }

    private void endIfIdle(ProgramId program) {
        synchronized (mProgramRecorder.lockFor(program)) {
            ProgramState state = mProgramRecorder.find(program).orElse(null);
            if (state != null && !state.ended() && !mHasActiveCall.test(program)) {
                LOG.info("program_idle_ended", "program", program);
                mProgramRecorder.append(
                        program, List.of(new LogRecord.ProgramEnded(program, "idle")));
            }
        }
    }

    /**
     * Starts the unconfirmed releases of an ended program, except those that are running or in
     * backoff.
     */
    void startReleases(ProgramState state) {
        long nowMillis = mDependencies.ticker().readMillis();
        for (TargetId target : state.cacheTargets()) {
            Release release = new Release(state.program(), target);
            int failures;
            synchronized (this) {
                Progress progress =
                        mReleases.getOrDefault(release, new Progress(nowMillis, 0, false));
                if (progress.running() || progress.notBeforeMillis() > nowMillis) {
                    continue;
                }
                failures = progress.failures();
                mReleases.put(release, new Progress(nowMillis, failures, true));
            }
            try {
                mWorkers.execute(() -> attemptRelease(release, failures));
            } catch (RejectedExecutionException e) {
                scheduleRetry(release, failures);
            }
        }
    }

    private void attemptRelease(Release release, int failures) {
        try {
            if (mHasActiveCall.test(release.program())) {
                scheduleRetry(release, failures);
                return;
            }
            TargetSpec target = findTarget(release.target());
            // A target that is no longer declared needs no release: its cache is lost with it.
            if (target != null) {
                mDependencies
                        .engine()
                        .release(
                                new TargetAddress(target.target(), target.baseUrl()),
                                ModelCallPlan.sessionOf(release.program()));
            }
            confirmRelease(release);
        } catch (HeathercourseException e) {
            LOG.debug(
                    "cache_release_failed",
                    "program",
                    release.program(),
                    "target",
                    release.target(),
                    "reason",
                    e.getMessage());
            scheduleRetry(release, failures + 1);
        }
    }

    private TargetSpec findTarget(TargetId target) {
        return mDependencies.config().current().targets().stream()
                .filter(t -> t.target().equals(target))
                .findFirst()
                .orElse(null);
    }

    private void confirmRelease(Release release) {
        ProgramId program = release.program();
        synchronized (mProgramRecorder.lockFor(program)) {
            boolean unconfirmed =
                    mProgramRecorder
                            .find(program)
                            .map(s -> s.cacheTargets().contains(release.target()))
                            .orElse(false);
            if (unconfirmed) {
                mProgramRecorder.append(
                        program,
                        List.of(new LogRecord.CacheReleaseConfirmed(program, release.target())));
            }
        }
        synchronized (this) {
            mReleases.remove(release);
        }
    }

    private synchronized void scheduleRetry(Release release, int failures) {
        long maxBackoffMillis =
                Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, 10));
        long backoffMillis =
                maxBackoffMillis / 2 + mDependencies.random().nextLong(maxBackoffMillis / 2 + 1);
        long notBeforeMillis = mDependencies.ticker().readMillis() + backoffMillis;
        mReleases.put(release, new Progress(notBeforeMillis, failures, false));
    }
}
