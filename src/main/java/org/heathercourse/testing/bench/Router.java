package org.heathercourse.testing.bench;

import io.vavr.control.Either;
import java.util.List;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;
import org.heathercourse.core.placement.PauseCacheAction;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;

/**
 * A routing policy as the daemons of a {@link PolicyRun} apply it; {@code daemon} parameters are
 * the index of the daemon that decides or observes.
 */
interface Router {
    /** Provides the simulated engines; only the oracle reads their state. */
    default void setEngines(List<EngineModel> engines) {}

    void configure(DeploymentConfig config, long nowMillis);

    /**
     * Chooses a target.
     *
     * @param daemon index of the daemon
     * @param request the call
     * @param remainingWorkMillis engine time of the calls left in the chain, for the oracle only
     * @param nowMillis current time of the simulation
     * @return the choice, or a refusal with the time after which to retry
     */
    Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingWorkMillis, long nowMillis);

    /** Returns whether a failed call may be retried at once. */
    boolean tryAcquireRetry(int daemon);

    /**
     * Returns whether the daemons together enforce the rate of a workspace, rather than each of
     * them the full rate.
     */
    boolean enforcesFleetRate();

    default void onLoadReport(int daemon, TargetId target, LoadReport report, long nowMillis) {}

    default void onCacheEvents(
            int daemon, TargetId target, List<CacheChange> changes, long nowMillis) {}

    default void onDispatched(
            int daemon, long attempt, PickRequest request, Pick pick, long nowMillis) {}

    default void onFirstToken(int daemon, long attempt, long nowMillis) {}

    default void onFinished(int daemon, long attempt, Usage usage, long nowMillis) {}

    default void onFailed(int daemon, long attempt, long nowMillis) {}

    default PauseCacheAction cacheActionOnPause(
            int daemon, String session, long pauseMillis, long nowMillis) {
        return PauseCacheAction.KEEP;
    }

    default List<TargetId> onProgramEnded(int daemon, ProgramId program, List<String> sessions) {
        return List.of();
    }
}
