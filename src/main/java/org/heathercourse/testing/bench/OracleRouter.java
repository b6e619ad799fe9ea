package org.heathercourse.testing.bench;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.placement.LoadReport;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;

/**
 * A policy with access to the current state of all engines and the remaining work of each chain.
 *
 * <p>It shows what more information could gain and is not a proven optimum. Calls go to the engine
 * with the lowest cost of waiting and prompt computation; chains with the least remaining work run
 * first.
 */
final class OracleRouter implements Router {
    /** Estimated duration of a call, for the wait for a free slot. */
    private static final double QUEUED_CALL_MILLIS = 4_000;

    /** Cost of moving a session, whose old copy still occupies memory at the previous engine. */
    private static final double MOVE_PENALTY_MILLIS = 1_000;

    private final Scenario mScenario;
    private List<TargetSpec> mTargets = List.of();
    private List<EngineModel> mEngines = List.of();

    OracleRouter(Scenario scenario) {
        mScenario = scenario;
    }

    @Override
    public void setEngines(List<EngineModel> engines) {
        mEngines = engines;
    }

    @Override
    public void configure(DeploymentConfig config, long nowMillis) {
        mTargets = config.targets();
    }

    @Override
    public Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingWorkMillis, long nowMillis) {
        int best = -1;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int i = 0; i < mEngines.size(); i++) {
            if (!mTargets.get(i).state().takesNewWork() || !mEngines.get(i).isAlive()) {
                continue;
            }
            double cost = estimateCost(mEngines.get(i), request);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        int priority =
                request.requestClass() == RequestClass.URGENT
                        ? -1
                        : (int) Math.min(1e9, remainingWorkMillis);
        long cachedTokens = best < 0 ? 0 : mEngines.get(best).heldTokens(request.session());
        return Either.right(
                new Pick(
                        mScenario.engineId(Math.max(0, best)),
                        priority,
                        0,
                        cachedTokens,
                        Optional.empty()));
    }

    private static double estimateCost(EngineModel engine, PickRequest request) {
        EngineSpec spec = EngineSpec.DEFAULT;
        LoadReport load = engine.report(List.of(), 0);
        double uncachedTokens = request.promptTokens() - engine.heldTokens(request.session());
        double callsOverSlots = Math.max(0, load.running() + load.queued() + 1 - spec.maxRunning());
        return (uncachedTokens * (1 + load.running()) + load.queuedTokens())
                        * spec.promptTokenMillis()
                + callsOverSlots / spec.maxRunning() * QUEUED_CALL_MILLIS
                + load.running() * spec.perSequenceMillis() * 150
                + (engine.heldTokens(request.session()) > 0 ? 0 : MOVE_PENALTY_MILLIS);
    }

    @Override
    public boolean tryAcquireRetry(int daemon) {
        return true;
    }

    @Override
    public boolean enforcesFleetRate() {
        return true;
    }

    @Override
    public List<TargetId> onProgramEnded(int daemon, ProgramId program, List<String> sessions) {
        return mTargets.stream().map(TargetSpec::target).toList();
    }
}
