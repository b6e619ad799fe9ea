package org.heathercourse.daemon.call;

import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.TargetAddress;

/**
 * Names and releases the engine sessions of calls that belong to no program. Their releases are
 * kept in memory only; the sweep of engines finds what a dead daemon has left. Safe for use by
 * several threads.
 */
final class EphemeralSessions {
    private static final EventLog LOG = EventLog.of(EphemeralSessions.class);

    /** Start of the names of engine sessions of calls without a program. */
    static final String PREFIX = "hc-eph.";

    private static final int MAX_TRIES = 12;

    private record Owed(TargetAddress target, String session) {}

    private final CallDependencies mServices;
    private final Executor mWorkers;
    private final Map<Owed, Integer> mOwed = new ConcurrentHashMap<>();
    private final Set<Owed> mRunning = ConcurrentHashMap.newKeySet();

    EphemeralSessions(CallDependencies services, Executor workers) {
        mServices = services;
        mWorkers = workers;
    }

    String newName() {
        byte[] bytes = new byte[12];
        mServices.random().nextBytes(bytes);
        return prefix(mServices.shards().self()) + HexFormat.of().formatHex(bytes);
    }

    /** Returns the start of the names that a daemon gives to sessions. */
    static String prefix(DaemonInfo daemon) {
        return PREFIX + daemon.vm() + "." + daemon.incarnation() + ".";
    }

    void release(TargetSpec target, String session) {
        Owed owed = new Owed(new TargetAddress(target.target(), target.baseUrl()), session);
        mOwed.put(owed, 1);
        start(owed);
    }

    private void start(Owed owed) {
        if (!mRunning.add(owed)) {
            return;
        }
        try {
            mWorkers.execute(() -> tryRelease(owed));
        } catch (RejectedExecutionException e) {
            // It stays owed and is tried again at the next interval.
            mRunning.remove(owed);
            LOG.debug("ephemeral_release_delayed", "session", owed.session());
        }
    }

    /** Tries again what failed before; called at intervals. */
    void retry() {
        mOwed.keySet().forEach(this::start);
    }

    private void tryRelease(Owed owed) {
        try {
            mServices.engine().release(owed.target(), owed.session());
            mOwed.remove(owed);
        } catch (HeathercourseException e) {
            int tries = mOwed.merge(owed, 1, Integer::sum);
            if (tries >= MAX_TRIES) {
                mOwed.remove(owed);
                LOG.warn(
                        "ephemeral_release_given_up",
                        "target",
                        owed.target().target(),
                        "session",
                        owed.session(),
                        "reason",
                        e.getMessage());
            }
        } finally {
            mRunning.remove(owed);
        }
    }
}
