package org.heathercourse.daemon.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.TargetAddress;

/**
 * Releases engine sessions that no log knows: an owner that dies between the dispatch of a call and
 * the record of its outcome leaves a session that its successor does not owe, and a dead daemon
 * leaves the sessions of its calls without a program.
 *
 * <p>Each round asks a few engines in turn which sessions they hold, so that its cost does not grow
 * with the fleet. A session is judged by the owner of its program alone, while its lease is valid,
 * and released when two rounds in a row found it orphaned. Safe for use by several threads.
 */
final class SessionSweep {
    private static final EventLog LOG = EventLog.of(SessionSweep.class);
    private static final long PERIOD_MILLIS = 5_000;
    private static final int ENGINES_PER_ROUND = 8;
    private static final String PROGRAM_PREFIX = ModelPlan.SESSION_PREFIX;
    private static final ProgramId EPHEMERAL_SHARD = new ProgramId("ephemeral-sessions");

    private final CallDependencies mServices;
    private final Recorder mRecorder;
    private final Executor mWorkers;
    private final Predicate<ProgramId> mBusy;
    private final AtomicBoolean mRunning = new AtomicBoolean();
    // Used by one round at a time.
    private final Map<TargetId, Set<String>> mSuspects = new HashMap<>();
    private long mNotBeforeMillis;
    private int mNext;

    SessionSweep(
            CallDependencies services,
            Recorder recorder,
            Executor workers,
            Predicate<ProgramId> busy) {
        mServices = services;
        mRecorder = recorder;
        mWorkers = workers;
        mBusy = busy;
    }

    /** Starts a round if one is due; called at intervals. */
    void run() {
        long now = mServices.ticker().readMillis();
        if (now < mNotBeforeMillis || !mRunning.compareAndSet(false, true)) {
            return;
        }
        mNotBeforeMillis = now + PERIOD_MILLIS;
        try {
            mWorkers.execute(this::round);
        } catch (RejectedExecutionException e) {
            // The next round is soon enough.
            mRunning.set(false);
            LOG.debug("session_sweep_delayed");
        }
    }

    private void round() {
        try {
            List<TargetSpec> engines = engines(mServices.config().current());
            int count = Math.min(ENGINES_PER_ROUND, engines.size());
            for (int i = 0; i < count; i++) {
                sweep(engines.get(Math.floorMod(mNext + i, engines.size())));
            }
            mNext += count;
        } finally {
            mRunning.set(false);
        }
    }

    private static List<TargetSpec> engines(DeploymentConfig config) {
        Set<Object> models = new HashSet<>();
        for (ServiceSpec service : config.services()) {
            if (service.kind() == ServiceKind.MODEL) {
                models.add(service.service());
            }
        }
        return config.targets().stream().filter(t -> models.contains(t.service())).toList();
    }

    /** Looks at one engine; an engine that does not answer is asked again in a later round. */
    private void sweep(TargetSpec engine) {
        TargetAddress address = new TargetAddress(engine.target(), engine.baseUrl());
        try {
            Set<String> before = mSuspects.getOrDefault(engine.target(), Set.of());
            Set<String> suspects = new HashSet<>();
            for (String session : mServices.engine().sessions(address)) {
                if (!orphaned(session, engine.target())) {
                    continue;
                }
                if (before.contains(session)) {
                    mServices.engine().release(address, session);
                    LOG.info("orphan_released", "target", engine.target(), "session", session);
                } else {
                    suspects.add(session);
                }
            }
            mSuspects.put(engine.target(), suspects);
        } catch (HeathercourseException e) {
            LOG.debug("session_sweep_missed", "target", engine.target(), "cause", e.getMessage());
        }
    }

    private boolean orphaned(String session, TargetId target) {
        if (session.startsWith(EphemeralSessions.PREFIX)) {
            return owned(EPHEMERAL_SHARD) && daemonGone(session);
        }
        if (!session.startsWith(PROGRAM_PREFIX)) {
            return false;
        }
        ProgramId program = new ProgramId(session.substring(PROGRAM_PREFIX.length()));
        if (!owned(program) || mBusy.test(program)) {
            return false;
        }
        Optional<ProgramState> state = mRecorder.find(program);
        return state.isEmpty()
                || (state.get().ended() && !state.get().cacheTargets().contains(target));
    }

    private boolean owned(ProgramId program) {
        ShardId shard = ShardId.of(program, mServices.config().current().shards());
        return mServices.config().current().revision() > 0
                && mServices.shards().fence(shard).isPresent();
    }

    private boolean daemonGone(String session) {
        List<String> alive = new ArrayList<>();
        mServices.shards().daemons().forEach(d -> alive.add(EphemeralSessions.prefix(d)));
        return alive.stream().noneMatch(session::startsWith);
    }
}
