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
 * Ends idle programs and releases the engine cache of programs that have ended, until each target
 * has confirmed. Works from the log alone, so a new owner goes on where the last one stopped. Safe
 * for use by several threads.
 */
final class ProgramMaintenance {
    private static final EventLog LOG = EventLog.of(ProgramMaintenance.class);
    private static final long FIRST_BACKOFF_MILLIS = 1000;
    private static final long MAX_BACKOFF_MILLIS = 60_000;

    private record Release(ProgramId program, TargetId target) {}

    /** State of one release: when it is tried next, and how often it has failed. */
    private record Progress(long notBeforeMillis, int failures, boolean running) {}

    private final CallDependencies mServices;
    private final Recorder mRecorder;
    private final Executor mWorkers;
    private final Predicate<ProgramId> mBusy;
    // Guarded by this.
    private final Map<Release, Progress> mReleases = new HashMap<>();
    private final Map<ProgramId, Long> mLastUsedMillis = new HashMap<>();

    ProgramMaintenance(
            CallDependencies services,
            Recorder recorder,
            Executor workers,
            Predicate<ProgramId> busy) {
        mServices = services;
        mRecorder = recorder;
        mWorkers = workers;
        mBusy = busy;
    }

    /** Notes that a program has just been used. */
    void used(ProgramId program) {
        synchronized (this) {
            mLastUsedMillis.put(program, mServices.ticker().readMillis());
        }
        mRecorder.find(program).filter(ProgramState::ended).ifPresent(this::release);
    }

    /** Looks at all programs held here; called at intervals. */
    void run() {
        Set<ProgramId> held = new HashSet<>();
        for (ProgramState state : mServices.log().activePrograms()) {
            held.add(state.program());
            if (mBusy.test(state.program())) {
                continue;
            }
            if (state.ended()) {
                release(state);
            } else if (idle(state.program())) {
                endIfIdle(state.program());
            }
        }
        synchronized (this) {
            mLastUsedMillis.keySet().retainAll(held);
            mReleases.keySet().removeIf(r -> !held.contains(r.program()));
        }
    }

    private synchronized boolean idle(ProgramId program) {
        long now = mServices.ticker().readMillis();
        Long last = mLastUsedMillis.putIfAbsent(program, now);
        return last != null && now - last >= mServices.settings().programIdleTimeoutMillis();
    }

    private void endIfIdle(ProgramId program) {
        synchronized (mRecorder.lock(program)) {
            ProgramState state = mRecorder.find(program).orElse(null);
            if (state != null && !state.ended() && !mBusy.test(program)) {
                LOG.info("program_idle_ended", "program", program);
                mRecorder.append(program, List.of(new LogRecord.ProgramEnded(program, "idle")));
            }
        }
    }

    /** Starts the releases that an ended program owes, unless they run or wait already. */
    void release(ProgramState state) {
        long now = mServices.ticker().readMillis();
        for (TargetId target : state.cacheTargets()) {
            Release release = new Release(state.program(), target);
            int failures;
            synchronized (this) {
                Progress progress = mReleases.getOrDefault(release, new Progress(now, 0, false));
                if (progress.running() || progress.notBeforeMillis() > now) {
                    continue;
                }
                failures = progress.failures();
                mReleases.put(release, new Progress(now, failures, true));
            }
            try {
                mWorkers.execute(() -> attempt(release, failures));
            } catch (RejectedExecutionException e) {
                later(release, failures);
            }
        }
    }

    private void attempt(Release release, int failures) {
        try {
            if (mBusy.test(release.program())) {
                later(release, failures);
                return;
            }
            TargetSpec target = declared(release.target());
            // A target that is no longer declared is gone, and its cache with it.
            if (target != null) {
                mServices
                        .engine()
                        .release(
                                new TargetAddress(target.target(), target.baseUrl()),
                                ModelPlan.session(release.program()));
            }
            confirm(release);
        } catch (HeathercourseException e) {
            LOG.debug(
                    "cache_release_failed",
                    "program",
                    release.program(),
                    "target",
                    release.target(),
                    "reason",
                    e.getMessage());
            later(release, failures + 1);
        }
    }

    private TargetSpec declared(TargetId target) {
        return mServices.config().current().targets().stream()
                .filter(t -> t.target().equals(target))
                .findFirst()
                .orElse(null);
    }

    private void confirm(Release release) {
        ProgramId program = release.program();
        synchronized (mRecorder.lock(program)) {
            boolean owed =
                    mRecorder
                            .find(program)
                            .map(s -> s.cacheTargets().contains(release.target()))
                            .orElse(false);
            if (owed) {
                mRecorder.append(
                        program,
                        List.of(new LogRecord.CacheReleaseConfirmed(program, release.target())));
            }
        }
        synchronized (this) {
            mReleases.remove(release);
        }
    }

    private synchronized void later(Release release, int failures) {
        long limit = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, 10));
        long delay = limit / 2 + mServices.random().nextLong(limit / 2 + 1);
        long notBefore = mServices.ticker().readMillis() + delay;
        mReleases.put(release, new Progress(notBefore, failures, false));
    }
}
