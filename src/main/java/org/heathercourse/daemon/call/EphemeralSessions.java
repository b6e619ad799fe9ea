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
 * Names and releases the engine sessions of calls without a program. Pending releases are kept in
 * memory only; {@link OrphanSessionSweeper} releases the sessions of daemons that died. Safe for
 * use by several threads.
 */
final class EphemeralSessions {
    private static final EventLog LOG = EventLog.of(EphemeralSessions.class);

    /** Prefix of the names of engine sessions of calls without a program. */
    static final String PREFIX = "hc-eph.";

    private static final int MAX_ATTEMPTS = 12;

    private record PendingRelease(TargetAddress target, String session) {}

    private final CallDependencies mDependencies;
    private final Executor mWorkers;
    private final Map<PendingRelease, Integer> mPendingReleases = new ConcurrentHashMap<>();
    private final Set<PendingRelease> mRunningReleases = ConcurrentHashMap.newKeySet();

    EphemeralSessions(CallDependencies dependencies, Executor workers) {
        mDependencies = dependencies;
        mWorkers = workers;
    }

    /** Returns a new random session name with the prefix of this daemon. */
    String newSessionName() {
        byte[] bytes = new byte[12];
        mDependencies.random().nextBytes(bytes);
        return sessionPrefix(mDependencies.shards().self()) + HexFormat.of().formatHex(bytes);
    }

    /** Returns the prefix of the session names that a daemon assigns. */
    static String sessionPrefix(DaemonInfo daemon) {
        return PREFIX + daemon.vm() + "." + daemon.incarnation() + ".";
    }

    /**
     * Releases a session at an engine in the background; retried until it succeeds or {@link
     * #MAX_ATTEMPTS} is reached.
     */
    void release(TargetSpec target, String session) {
        PendingRelease release =
                new PendingRelease(new TargetAddress(target.target(), target.baseUrl()), session);
        mPendingReleases.put(release, 1);
        startRelease(release);
    }

    private void startRelease(PendingRelease release) {
        if (!mRunningReleases.add(release)) {
            return;
        }
        try {
            mWorkers.execute(() -> attemptRelease(release));
        } catch (RejectedExecutionException e) {
            // The release stays pending and is retried at the next interval.
            mRunningReleases.remove(release);
            LOG.debug("ephemeral_release_delayed", "session", release.session());
        }
    }

    /** Retries pending releases; called periodically. */
    void retryPending() {
        mPendingReleases.keySet().forEach(this::startRelease);
    }

    private void attemptRelease(PendingRelease release) {
        try {
            mDependencies.engine().release(release.target(), release.session());
            mPendingReleases.remove(release);
        } catch (HeathercourseException e) {
            int attempts = mPendingReleases.merge(release, 1, Integer::sum);
            if (attempts >= MAX_ATTEMPTS) {
                mPendingReleases.remove(release);
                LOG.warn(
                        "ephemeral_release_given_up",
                        "target",
                        release.target().target(),
                        "session",
                        release.session(),
                        "reason",
                        e.getMessage());
            }
        } finally {
            mRunningReleases.remove(release);
        }
    }
}
