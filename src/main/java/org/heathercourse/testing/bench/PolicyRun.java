package org.heathercourse.testing.bench;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.placement.PauseCacheAction;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;

/**
 * Simulates one routing policy on given arrivals under a manual clock. Used for one run. Not safe
 * for use by several threads.
 */
final class PolicyRun {
    /** One-way delay between caller and daemon. */
    static final double CALLER_DELAY_MILLIS = 1;

    /** Time until another daemon has taken over the programs of a failed one. */
    private static final double TAKEOVER_MILLIS = 8_000;

    private static final double CLIENT_RETRY_MILLIS = 1_000;
    private static final long START_EPOCH_MILLIS = 1_780_000_000_000L;
    private static final double LOSS_PROBABILITY = 0.001;
    private static final double RETRANSMIT_MILLIS = 200;

    private static final double COPY_FIXED_MILLIS = 40;

    /** Speed of cache copies: 100 KB per token over a network interface of 25 Gbit/s. */
    private static final double COPY_TOKENS_PER_MILLI = 30;

    /** Time after the last arrival after which programs still running count as unfinished. */
    private static final double DRAIN_SECONDS = 1_800;

    /** Fraction of the arrival time whose programs only warm up the system and are not counted. */
    private static final double WARM_UP_FRACTION = 0.1;

    private final Scenario mScenario;
    private final Router mRouter;
    private final Workload mWorkload;
    private final double mSeconds;
    private final SplittableRandom mRandom;
    private final EventLoop mLoop = new EventLoop();
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final Map<TargetId, Integer> mEngineIndex = new HashMap<>();
    private final Set<ChainExecution> mExecutions = new LinkedHashSet<>();
    private final RunStats mStats = new RunStats();
    private final RateModel mRates;
    private final boolean[] mDaemonFailed;
    private final double[] mCopyFreeMillis = new double[Scenario.ENGINES];
    private long mAttempts;
    private int mOpenPrograms;

    PolicyRun(Scenario scenario, Router router, Workload workload, double seconds, long seed) {
        mScenario = scenario;
        mRouter = router;
        mWorkload = workload;
        mSeconds = seconds;
        mRandom = new SplittableRandom(seed);
        mDaemonFailed = new boolean[scenario.daemons()];
        mRates =
                new RateModel(
                        workload.callsPerSecond(), scenario.daemons(), router.enforcesFleetRate());
        for (int i = 0; i < Scenario.ENGINES; i++) {
            mEngines.add(new EngineModel(mLoop, EngineSpec.DEFAULT));
            mEngineIndex.put(scenario.engineId(i), i);
        }
    }

    /**
     * Simulates all arrivals.
     *
     * @param fault the fault to inject
     * @param progress receives a progress line for every 300 s of simulated time
     * @return the statistics of the run
     */
    RunStats run(Fault fault, Consumer<String> progress) {
        mRouter.setEngines(mEngines);
        configure(-1);
        for (ProgramPlan plan : mWorkload.programs()) {
            mLoop.schedule(Math.round(plan.arrivalMillis() * 1000), () -> startProgram(plan));
        }
        mOpenPrograms = mWorkload.programs().size();
        new FaultSchedule(this).schedule(fault, mSeconds);
        new Telemetry(mLoop, mScenario, mRouter, mEngines, mRandom.split())
                .start(() -> mOpenPrograms > 0);
        long endMicros = Math.round((mSeconds + DRAIN_SECONDS) * 1e6);
        long nextProgressMillis = 0;
        while (mOpenPrograms > 0 && mLoop.runNext(endMicros)) {
            if (mLoop.nowMillis() >= nextProgressMillis) {
                progress.accept(
                        "time_s=" + mLoop.nowMillis() / 1000 + " open_programs=" + mOpenPrograms);
                nextProgressMillis += 300_000;
            }
        }
        for (ChainExecution execution : mExecutions) {
            if (execution.parent() == null) {
                recordProgram(execution.program(), false);
            }
        }
        return mStats;
    }

    /** Returns the mean fraction of the simulated time in which the engines computed. */
    double busyRatio() {
        double busy = mEngines.stream().mapToDouble(EngineModel::busyMillis).sum();
        return busy / mEngines.size() / Math.max(1, mLoop.nowMillis());
    }

    /**
     * Gives the policy the configuration.
     *
     * @param drainingEngine index of the engine that is draining; -1 for none
     */
    void configure(int drainingEngine) {
        mRouter.configure(
                mScenario.buildConfig(drainingEngine, mWorkload.workShares()), mLoop.nowMillis());
    }

    // Programs

    private void startProgram(ProgramPlan plan) {
        int workspace = 0;
        while (!mScenario.workspace(workspace).equals(plan.workspace())) {
            workspace++;
        }
        long hash = ShardId.hash(plan.workspace() + "/" + plan.arrivalMillis());
        int daemon = Math.floorMod(hash, mScenario.daemons());
        ChainExecution.Program program = new ChainExecution.Program(plan, workspace, daemon);
        ChainExecution execution = new ChainExecution(program, null, plan.chain());
        mExecutions.add(execution);
        startCall(execution);
    }

    private void startCall(ChainExecution execution) {
        int epoch = execution.beginAttempt();
        ChainExecution.Program program = execution.program();
        double delayMillis = CALLER_DELAY_MILLIS;
        if (mDaemonFailed[program.daemon()]) {
            delayMillis += TAKEOVER_MILLIS;
            program.moveTo(liveDaemon(program.daemon()));
        }
        mLoop.scheduleAfter(delayMillis, () -> admitCall(execution, epoch));
    }

    private int liveDaemon(int failed) {
        int daemon = failed;
        while (mDaemonFailed[daemon]) {
            daemon = (daemon + 1) % mDaemonFailed.length;
        }
        return daemon;
    }

    private void admitCall(ChainExecution execution, int epoch) {
        if (!execution.isCurrent(epoch)) {
            return;
        }
        ChainExecution.Program program = execution.program();
        RateModel.Decision rate =
                mRates.decide(program.workspace(), program.daemon(), mLoop.nowMillis());
        mStats.onCall(rate.withinRate());
        if (rate.retryAfterMillis() > 0) {
            mStats.onRateLimited();
            mStats.onRefused(rate.withinRate());
            mLoop.scheduleAfter(
                    rate.retryAfterMillis() + 2 * CALLER_DELAY_MILLIS,
                    () -> admitCall(execution, epoch));
            return;
        }
        dispatch(execution, epoch, rate.withinRate());
    }

    private void dispatch(ChainExecution execution, int epoch, boolean withinRate) {
        int daemon = execution.program().daemon();
        PickRequest request = buildRequest(execution);
        Either<Refusal, Pick> picked =
                mRouter.pick(daemon, request, execution.remainingWorkMillis(), mLoop.nowMillis());
        if (picked.isLeft()) {
            mStats.onRefused(withinRate);
            execution.excludedTargets().clear();
            double retryMillis = picked.getLeft().retryAfterMillis() + 2 * CALLER_DELAY_MILLIS;
            mLoop.scheduleAfter(retryMillis, () -> admitCall(execution, epoch));
            return;
        }
        Pick pick = picked.get();
        long attempt = ++mAttempts;
        mRouter.onDispatched(daemon, attempt, request, pick, mLoop.nowMillis());
        int target = mEngineIndex.get(pick.target());
        double copyMillis =
                pick.migrateFrom()
                        .map(source -> migrateCache(execution, source, target))
                        .orElse(0.0);
        double linkMillis = drawLinkMillis(daemon, target);
        mLoop.scheduleAfter(
                copyMillis + linkMillis,
                () -> submit(execution, epoch, attempt, pick, target, linkMillis));
    }

    private PickRequest buildRequest(ChainExecution execution) {
        ChainExecution.Program program = execution.program();
        return PickRequest.builder(program.id(), program.plan().workspace(), mScenario.service())
                .model(mScenario.model())
                .session(execution.session())
                .requestClass(program.plan().requestClass())
                .promptTokens(execution.promptTokens())
                .epochMillis(START_EPOCH_MILLIS + mLoop.nowMillis())
                .excluded(execution.excludedTargets())
                .build();
    }

    /**
     * Schedules the copy of a session's cache between engines; returns its duration in
     * milliseconds.
     */
    private double migrateCache(ChainExecution execution, TargetId source, int targetIndex) {
        int sourceIndex = mEngineIndex.get(source);
        int tokens = mEngines.get(sourceIndex).heldTokens(execution.session());
        Zone sourceZone = mScenario.engineZone(sourceIndex);
        Zone targetZone = mScenario.engineZone(targetIndex);
        if (tokens == 0) {
            return COPY_FIXED_MILLIS;
        }
        // Copies from and to an engine share its network interface and therefore run in sequence.
        double startMillis =
                Math.max(
                        mLoop.nowMillis(),
                        Math.max(mCopyFreeMillis[sourceIndex], mCopyFreeMillis[targetIndex]));
        double endMillis = startMillis + tokens / COPY_TOKENS_PER_MILLI;
        mCopyFreeMillis[sourceIndex] = endMillis;
        mCopyFreeMillis[targetIndex] = endMillis;
        double millis =
                endMillis
                        - mLoop.nowMillis()
                        + COPY_FIXED_MILLIS
                        + 2 * mScenario.delayMillis(sourceZone, targetZone);
        mStats.onMigration(tokens);
        mLoop.scheduleAfter(
                millis,
                () -> {
                    mEngines.get(sourceIndex).release(execution.session());
                    mEngines.get(targetIndex).importSession(execution.session(), tokens);
                });
        return millis;
    }

    private double drawLinkMillis(int daemon, int engine) {
        Zone from = mScenario.daemonZone(daemon);
        Zone to = mScenario.engineZone(engine);
        double retransmitMillis =
                !from.equals(to) && mRandom.nextDouble() < LOSS_PROBABILITY ? RETRANSMIT_MILLIS : 0;
        return mScenario.delayMillis(from, to) + retransmitMillis;
    }

    // Calls at engines

    private void submit(
            ChainExecution execution,
            int epoch,
            long attempt,
            Pick pick,
            int target,
            double linkMillis) {
        int daemon = execution.program().daemon();
        EngineModel.Call[] call = new EngineModel.Call[1];
        call[0] =
                new EngineModel.Call(
                        execution.session(),
                        execution.promptTokens(),
                        execution.turn().outputTokens(),
                        pick.priority(),
                        () ->
                                mLoop.scheduleAfter(
                                        linkMillis,
                                        () ->
                                                mRouter.onFirstToken(
                                                        daemon, attempt, mLoop.nowMillis())),
                        () ->
                                mLoop.scheduleAfter(
                                        linkMillis,
                                        () -> onAnswer(execution, epoch, daemon, attempt, call[0])),
                        () ->
                                mLoop.scheduleAfter(
                                        linkMillis,
                                        () -> onFailed(execution, epoch, daemon, attempt, pick)));
        mEngines.get(target).submit(call[0]);
    }

    private void onAnswer(
            ChainExecution execution, int epoch, int daemon, long attempt, EngineModel.Call call) {
        if (!execution.isCurrent(epoch)) {
            return;
        }
        int promptTokens = execution.promptTokens();
        mStats.onComputed(
                promptTokens - call.cachedTokens(),
                Math.max(0, execution.computedTokens() - call.cachedTokens()));
        Usage usage = new Usage(promptTokens, execution.turn().outputTokens(), call.cachedTokens());
        mRouter.onFinished(daemon, attempt, usage, mLoop.nowMillis());
        mLoop.scheduleAfter(CALLER_DELAY_MILLIS, () -> onCompleted(execution));
    }

    private void onCompleted(ChainExecution execution) {
        if (execution.isLastTurn()) {
            endChain(execution);
            return;
        }
        ProgramPlan.Turn turn = execution.turn();
        execution.endCall(1 + turn.subAgents().size());
        PauseCacheAction action =
                mRouter.cacheActionOnPause(
                        execution.program().daemon(),
                        execution.session(),
                        Math.round(turn.pauseMillis()),
                        mLoop.nowMillis());
        if (action == PauseCacheAction.RELEASE) {
            mEngines.forEach(e -> e.release(execution.session()));
        }
        mLoop.scheduleAfter(turn.pauseMillis(), () -> startCallIfReady(execution));
        for (List<ProgramPlan.Turn> subAgentChain : turn.subAgents()) {
            ChainExecution subAgent =
                    new ChainExecution(execution.program(), execution, subAgentChain);
            mExecutions.add(subAgent);
            startCall(subAgent);
        }
    }

    private void startCallIfReady(ChainExecution execution) {
        if (execution.completeEvent()) {
            startCall(execution);
        }
    }

    private void endChain(ChainExecution execution) {
        mExecutions.remove(execution);
        if (execution.parent() != null) {
            startCallIfReady(execution.parent());
            return;
        }
        ChainExecution.Program program = execution.program();
        recordProgram(program, true);
        mOpenPrograms--;
        for (TargetId holder :
                mRouter.onProgramEnded(program.daemon(), program.id(), program.sessions())) {
            EngineModel engine = mEngines.get(mEngineIndex.get(holder));
            program.sessions().forEach(engine::release);
        }
    }

    private void recordProgram(ChainExecution.Program program, boolean finished) {
        ProgramPlan plan = program.plan();
        if (plan.arrivalMillis() < WARM_UP_FRACTION * mSeconds * 1000) {
            return;
        }
        mStats.onProgram(
                new RunStats.Sample(
                        program.workspace(),
                        plan.kind(),
                        plan.requestClass(),
                        mLoop.nowMicros() / 1000.0 - plan.arrivalMillis(),
                        plan.idleLatencyMillis(
                                EngineSpec.DEFAULT,
                                CALLER_DELAY_MILLIS + mScenario.localDelayMillis()),
                        finished));
    }

    private void onFailed(
            ChainExecution execution, int epoch, int daemon, long attempt, Pick pick) {
        mRouter.onFailed(daemon, attempt, mLoop.nowMillis());
        if (!execution.isCurrent(epoch)) {
            return;
        }
        execution.excludedTargets().add(pick.target());
        if (execution.excludedTargets().size() < Scenario.ENGINES
                && mRouter.tryAcquireRetry(daemon)) {
            dispatch(execution, epoch, true);
            return;
        }
        mStats.onFailed();
        execution.excludedTargets().clear();
        mLoop.scheduleAfter(CLIENT_RETRY_MILLIS, () -> admitCall(execution, epoch));
    }

    // Faults

    Scenario scenario() {
        return mScenario;
    }

    EventLoop loop() {
        return mLoop;
    }

    List<EngineModel> engines() {
        return mEngines;
    }

    /** Fails a daemon; its programs repeat their running calls at another daemon. */
    void failDaemon(int daemon) {
        mDaemonFailed[daemon] = true;
        for (ChainExecution execution : List.copyOf(mExecutions)) {
            if (execution.program().daemon() == daemon && execution.inCall()) {
                startCall(execution);
            }
        }
    }
}
