package org.heathercourse.daemon.operate;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.inject.Inject;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.call.Decision;
import org.heathercourse.daemon.call.DecisionLog;
import org.heathercourse.daemon.call.ProgramRouter;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.schedule.SchedulerSelector;
import org.heathercourse.daemon.state.ProgramLog;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.ops.BurnMapper;
import org.heathercourse.ops.ConfigMapper;
import org.heathercourse.ops.Observations;
import org.heathercourse.ops.v1.DaemonStatus;
import org.heathercourse.ops.v1.DecisionOutcome;
import org.heathercourse.ops.v1.ExplainResponse;
import org.heathercourse.ops.v1.GetBurnResponse;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.ProgramStatus;
import org.heathercourse.ops.v1.TargetStatus;

/** Provides the state of this daemon to the operator service. Safe for use by several threads. */
public final class DaemonObservations implements Observations {
    private final ShardDirectory mShardDirectory;
    private final ProgramLog mProgramLog;
    private final ProgramRouter mProgramRouter;
    private final SchedulerSelector mSelector;
    private final ConfigSource mConfig;
    private final CallMetrics mCallMetrics;
    private final DecisionLog mDecisionLog;
    private final Clock mClock;

    /** Creates the observations of one daemon. */
    @Inject
    public DaemonObservations(
            ShardDirectory shards,
            ProgramLog log,
            ProgramRouter programs,
            SchedulerSelector selector,
            ConfigSource config,
            CallMetrics metrics,
            DecisionLog decisions,
            Clock clock) {
        mShardDirectory = shards;
        mProgramLog = log;
        mProgramRouter = programs;
        mSelector = selector;
        mConfig = config;
        mCallMetrics = metrics;
        mDecisionLog = decisions;
        mClock = clock;
    }

    @Override
    public List<DaemonInfo> daemons() {
        return mShardDirectory.daemons();
    }

    @Override
    public GetStatusResponse status(ConfigSource config) {
        DeploymentConfig current = config.current();
        GetStatusResponse.Builder status =
                GetStatusResponse.newBuilder()
                        .setVm(mShardDirectory.self().vm().value())
                        .setRevision(current.revision())
                        .setFresh(config.isFresh())
                        .setStoreDown(mProgramLog.storeDown())
                        .setPendingBytes(mProgramLog.pendingBytes());
        Map<VmId, Integer> ownedShards = new HashMap<>();
        for (int i = 0; i < current.shards(); i++) {
            mShardDirectory
                    .owner(new ShardId(i))
                    .ifPresent(d -> ownedShards.merge(d.vm(), 1, Integer::sum));
        }
        for (DaemonInfo daemon : mShardDirectory.daemons()) {
            status.addDaemons(
                    DaemonStatus.newBuilder()
                            .setVm(daemon.vm().value())
                            .setIncarnation(daemon.incarnation())
                            .setZone(daemon.zone().value())
                            .setCallerAddress(daemon.host() + ":" + daemon.callerPort())
                            .setShards(ownedShards.getOrDefault(daemon.vm(), 0))
                            .setOperatorAddress(daemon.host() + ":" + daemon.operatorPort())
                            .setDraining(daemon.draining()));
        }
        for (TargetSpec target : current.targets()) {
            status.addTargets(
                    TargetStatus.newBuilder()
                            .setTarget(target.target().value())
                            .setState(ConfigMapper.state(target.state()))
                            .setRunningHere((int) mSelector.runningCallCount(target.target()))
                            .setHealthy(mSelector.acceptsCalls(target.target())));
        }
        return status.build();
    }

    @Override
    public List<ProgramStatus> programs(int limit) {
        return mProgramLog.activePrograms().stream()
                .limit(limit)
                .map(DaemonObservations::toStatus)
                .toList();
    }

    private static ProgramStatus toStatus(ProgramState state) {
        return ProgramStatus.newBuilder()
                .setProgram(state.program().value())
                .setWorkspace(state.workspace().value())
                .setCalls(state.calls().size())
                .setBudgetTokens(state.budgetTokens())
                .setSpentTokens(state.spentTokens())
                .setReservedTokens(state.reservedTokens())
                .setHistoryMessages(state.history().size())
                .setEndReason(state.endReason())
                .build();
    }

    @Override
    public GetBurnResponse burn() {
        return GetBurnResponse.newBuilder()
                .setVm(mShardDirectory.self().vm().value())
                .setEpochMillis(mClock.millis())
                .addAllCounts(BurnMapper.toSchema(mCallMetrics.burn()))
                .build();
    }

    @Override
    public ExplainResponse explain(String program, int limit) {
        ExplainResponse.Builder response =
                ExplainResponse.newBuilder().setVm(mShardDirectory.self().vm().value());
        ShardId shard = ShardId.of(new ProgramId(program), mConfig.current().shards());
        mShardDirectory.owner(shard).ifPresent(owner -> response.setOwnerVm(owner.vm().value()));
        for (Decision d : mDecisionLog.findByProgram(program, limit)) {
            response.addDecisionsBuilder()
                    .setEpochMillis(d.epochMillis())
                    .setProgram(d.program())
                    .setRequest(d.request())
                    .setWorkspace(d.workspace())
                    .setOutcome(DecisionOutcome.valueOf(d.outcome().name()))
                    .setTarget(d.target())
                    .setPriority(d.priority())
                    .setExpectedMillis(d.expectedMillis())
                    .setCachedTokens(d.cachedTokens())
                    .setErrorKind(d.errorKind())
                    .setReason(d.reason());
        }
        return response.build();
    }

    @Override
    public void cancel(String program) {
        mProgramRouter.run("end", null, new ProgramId(program), "{\"reason\":\"cancelled\"}");
    }
}
