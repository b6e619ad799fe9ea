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

/** A policy as the daemons of a run apply it; each method names the daemon that decides. */
interface Router {
    /** Gives the true engines; only the oracle looks at them. */
    default void engines(List<EngineModel> engines) {}

    void configure(DeploymentConfig config, long nowMillis);

    /**
     * Chooses a target.
     *
     * @param daemon number of the daemon
     * @param request the call
     * @param remainingMillis work left in the program, for the oracle only
     * @param nowMillis present time
     */
    Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingMillis, long nowMillis);

    /** Returns whether a failed call may be tried again at once. */
    boolean tryRetry(int daemon);

    /** Returns whether daemons enforce the fleet-wide rate of workspaces, not one share each. */
    boolean sharesRates();

    default void report(int daemon, TargetId target, LoadReport report, long nowMillis) {}

    default void cacheEvents(
            int daemon, TargetId target, List<CacheChange> changes, long nowMillis) {}

    default void dispatched(
            int daemon, long attempt, PickRequest request, Pick pick, long nowMillis) {}

    default void firstToken(int daemon, long attempt, long nowMillis) {}

    default void finished(int daemon, long attempt, Usage usage, long nowMillis) {}

    default void failed(int daemon, long attempt, long nowMillis) {}

    default PauseCacheAction pause(int daemon, String session, long pauseMillis, long nowMillis) {
        return PauseCacheAction.KEEP;
    }

    default List<TargetId> ended(int daemon, ProgramId program, List<String> sessions) {
        return List.of();
    }
}
