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
 * Releases engine sessions that have no record in a program log. An owner that dies between the
 * dispatch of a call and the record of its outcome leaves a session that its successor has no
 * release record for, and a dead daemon leaves the sessions of its calls without a program.
 *
 * <p>Each round lists the sessions of a few engines in rotation, so that its cost does not grow
 * with the number of engines. Only the owner of a program, while its lease is valid, releases the
 * sessions of the program, and only after two consecutive rounds found them orphaned. Safe for use
 * by several threads.
 */
final class OrphanSessionSweeper {
    private static final EventLog LOG = EventLog.of(OrphanSessionSweeper.class);
    private static final long PERIOD_MILLIS = 5_000;
    private static final int ENGINES_PER_ROUND = 8;
    private static final String PROGRAM_PREFIX = ModelCallPlan.SESSION_PREFIX;
    // The owner of the shard of this key releases the ephemeral sessions of dead daemons.
    private static final ProgramId EPHEMERAL_SESSIONS_KEY = new ProgramId("ephemeral-sessions");

    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;
    private final Executor mWorkers;
    private final Predicate<ProgramId> mHasActiveCall;
    private final AtomicBoolean mRunning = new AtomicBoolean();
    // Accessed by one round at a time.
    private final Map<TargetId, Set<String>> mOrphanCandidates = new HashMap<>();
    private long mNextRoundMillis;
    private int mNextEngine;

    OrphanSessionSweeper(
            CallDependencies dependencies,
            ProgramRecorder recorder,
            Executor workers,
            Predicate<ProgramId> hasActiveCall) {
        mDependencies = dependencies;
        mProgramRecorder = recorder;
        mWorkers = workers;
        mHasActiveCall = hasActiveCall;
    }

    /** Starts a round if one is due; called periodically. */
    void run() {
        long nowMillis = mDependencies.ticker().readMillis();
        if (nowMillis < mNextRoundMillis || !mRunning.compareAndSet(false, true)) {
            return;
        }
        mNextRoundMillis = nowMillis + PERIOD_MILLIS;
        try {
            mWorkers.execute(this::runRound);
        } catch (RejectedExecutionException e) {
            // The round is skipped; the next one covers these engines.
            mRunning.set(false);
            LOG.debug("session_sweep_delayed");
        }
    }

    private void runRound() {
        try {
            List<TargetSpec> engines = engines(mDependencies.config().current());
            int count = Math.min(ENGINES_PER_ROUND, engines.size());
            for (int i = 0; i < count; i++) {
                sweepEngine(engines.get(Math.floorMod(mNextEngine + i, engines.size())));
            }
            mNextEngine += count;
        } finally {
            mRunning.set(false);
        }
    }

    private static List<TargetSpec> engines(DeploymentConfig config) {
        Set<Object> modelServices = new HashSet<>();
        for (ServiceSpec service : config.services()) {
            if (service.kind() == ServiceKind.MODEL) {
                modelServices.add(service.service());
            }
        }
        return config.targets().stream().filter(t -> modelServices.contains(t.service())).toList();
    }

    /**
     * Releases the orphaned sessions of one engine. An engine that does not answer is visited again
     * in a later round.
     */
    private void sweepEngine(TargetSpec engine) {
        TargetAddress address = new TargetAddress(engine.target(), engine.baseUrl());
        try {
            Set<String> previousCandidates =
                    mOrphanCandidates.getOrDefault(engine.target(), Set.of());
            Set<String> candidates = new HashSet<>();
            for (String session : mDependencies.engine().sessions(address)) {
                if (!isOrphaned(session, engine.target())) {
                    continue;
                }
                if (previousCandidates.contains(session)) {
                    mDependencies.engine().release(address, session);
                    LOG.info("orphan_released", "target", engine.target(), "session", session);
                } else {
                    candidates.add(session);
                }
            }
            mOrphanCandidates.put(engine.target(), candidates);
        } catch (HeathercourseException e) {
            LOG.debug("session_sweep_failed", "target", engine.target(), "cause", e.getMessage());
        }
    }

    private boolean isOrphaned(String session, TargetId target) {
        if (session.startsWith(EphemeralSessions.PREFIX)) {
            return isOwnedHere(EPHEMERAL_SESSIONS_KEY) && isDaemonUnlisted(session);
        }
        if (!session.startsWith(PROGRAM_PREFIX)) {
            return false;
        }
        ProgramId program = new ProgramId(session.substring(PROGRAM_PREFIX.length()));
        if (!isOwnedHere(program) || mHasActiveCall.test(program)) {
            return false;
        }
        Optional<ProgramState> state = mProgramRecorder.find(program);
        return state.isEmpty()
                || (state.get().ended() && !state.get().cacheTargets().contains(target));
    }

    private boolean isOwnedHere(ProgramId program) {
        ShardId shard = ShardId.of(program, mDependencies.config().current().shards());
        return mDependencies.config().current().revision() > 0
                && mDependencies.shards().fence(shard).isPresent();
    }

    private boolean isDaemonUnlisted(String session) {
        List<String> livePrefixes = new ArrayList<>();
        mDependencies
                .shards()
                .daemons()
                .forEach(d -> livePrefixes.add(EphemeralSessions.sessionPrefix(d)));
        return livePrefixes.stream().noneMatch(session::startsWith);
    }
}
