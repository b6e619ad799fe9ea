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
 * A policy that sees the true state of all engines and the work left in each program.
 *
 * <p>It shows what more knowledge could give; it is no proven optimum. Calls go where the true wait
 * and the true tokens to compute are least; programs with the least work left run first.
 */
final class OracleRouter implements Router {
    private static final double CALL_MILLIS = 4_000;

    /** A session that moves leaves a copy behind, which takes memory from others. */
    private static final double MOVE_MILLIS = 1_000;

    private final Scenario mScenario;
    private List<TargetSpec> mTargets = List.of();
    private List<EngineModel> mEngines = List.of();

    OracleRouter(Scenario scenario) {
        mScenario = scenario;
    }

    @Override
    public void engines(List<EngineModel> engines) {
        mEngines = engines;
    }

    @Override
    public void configure(DeploymentConfig config, long nowMillis) {
        mTargets = config.targets();
    }

    @Override
    public Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingMillis, long nowMillis) {
        int best = -1;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int i = 0; i < mEngines.size(); i++) {
            if (!mTargets.get(i).state().takesNewWork() || !mEngines.get(i).alive()) {
                continue;
            }
            double cost = cost(mEngines.get(i), request);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        int priority =
                request.requestClass() == RequestClass.URGENT
                        ? -1
                        : (int) Math.min(1e9, remainingMillis);
        long held = best < 0 ? 0 : mEngines.get(best).held(request.session());
        return Either.right(
                new Pick(
                        mScenario.engineId(Math.max(0, best)),
                        priority,
                        0,
                        held,
                        Optional.empty()));
    }

    private static double cost(EngineModel engine, PickRequest request) {
        EngineSpec spec = EngineSpec.DEFAULT;
        LoadReport load = engine.report(List.of(), 0);
        double uncached = request.promptTokens() - engine.held(request.session());
        double overflow = Math.max(0, load.running() + load.queued() + 1 - spec.slots());
        return (uncached * (1 + load.running()) + load.queuedTokens()) * spec.promptTokenMillis()
                + overflow / spec.slots() * CALL_MILLIS
                + load.running() * spec.perSequenceMillis() * 150
                + (engine.held(request.session()) > 0 ? 0 : MOVE_MILLIS);
    }

    @Override
    public boolean tryRetry(int daemon) {
        return true;
    }

    @Override
    public boolean sharesRates() {
        return true;
    }

    @Override
    public List<TargetId> ended(int daemon, ProgramId program, List<String> sessions) {
        return mTargets.stream().map(TargetSpec::target).toList();
    }
}
