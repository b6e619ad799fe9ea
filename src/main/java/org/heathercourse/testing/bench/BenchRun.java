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

/** One run of a policy over given arrivals under a paused clock. Not safe for several threads. */
final class BenchRun {
    /** Delay one way between caller and daemon. */
    static final double CALLER_MILLIS = 1;

    /** Programs of a lost daemon go on at another one after this time. */
    private static final double TAKEOVER_MILLIS = 8_000;

    private static final double CLIENT_RETRY_MILLIS = 1_000;
    private static final long EPOCH_MILLIS = 1_780_000_000_000L;
    private static final double LOSS_RATIO = 0.001;
    private static final double RETRANSMIT_MILLIS = 200;

    private static final double COPY_FIXED_MILLIS = 40;

    /** 100 KB a token over a 25 Gbit/s interface. */
    private static final double COPY_TOKENS_PER_MILLI = 30;

    /** Time after the last arrival at which programs that still run count as unfinished. */
    private static final double DRAIN_SECONDS = 1_800;

    /** Share of the arrivals that only warm the system up. */
    private static final double WARM_UP = 0.1;

    private final Scenario mScenario;
    private final Router mRouter;
    private final Workload mWorkload;
    private final double mSeconds;
    private final SplittableRandom mRandom;
    private final EventLoop mLoop = new EventLoop();
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final Map<TargetId, Integer> mEngineIndex = new HashMap<>();
    private final Set<Flow> mFlows = new LinkedHashSet<>();
    private final RunStats mStats = new RunStats();
    private final RateModel mRates;
    private final boolean[] mDaemonLost;
    private final double[] mCopyFree = new double[Scenario.ENGINES];
    private long mAttempts;
    private int mOpenPrograms;

    BenchRun(Scenario scenario, Router router, Workload workload, double seconds, long seed) {
        mScenario = scenario;
        mRouter = router;
        mWorkload = workload;
        mSeconds = seconds;
        mRandom = new SplittableRandom(seed);
        mDaemonLost = new boolean[scenario.daemons()];
        mRates = new RateModel(workload.callsPerSecond(), scenario.daemons(), router.sharesRates());
        for (int i = 0; i < Scenario.ENGINES; i++) {
            mEngines.add(new EngineModel(mLoop, EngineSpec.DEFAULT));
            mEngineIndex.put(scenario.engineId(i), i);
        }
    }

    /** Runs all arrivals and returns the measures. */
    RunStats run(Fault fault, Consumer<String> progress) {
        mRouter.engines(mEngines);
        configure(-1);
        for (ProgramPlan plan : mWorkload.programs()) {
            mLoop.at(Math.round(plan.arrivalMillis() * 1000), () -> start(plan));
        }
        mOpenPrograms = mWorkload.programs().size();
        new Faults(this).schedule(fault, mSeconds);
        new Telemetry(mLoop, mScenario, mRouter, mEngines, mRandom.split())
                .start(() -> mOpenPrograms > 0);
        long end = Math.round((mSeconds + DRAIN_SECONDS) * 1e6);
        long nextProgress = 0;
        while (mOpenPrograms > 0 && mLoop.step(end)) {
            if (mLoop.nowMillis() >= nextProgress) {
                progress.accept(
                        "time_s=" + mLoop.nowMillis() / 1000 + " open_programs=" + mOpenPrograms);
                nextProgress += 300_000;
            }
        }
        for (Flow flow : mFlows) {
            if (flow.parent() == null) {
                record(flow.program(), false);
            }
        }
        return mStats;
    }

    double busyRatio() {
        double busy = mEngines.stream().mapToDouble(EngineModel::busyMillis).sum();
        return busy / mEngines.size() / Math.max(1, mLoop.nowMillis());
    }

    void configure(int drained) {
        mRouter.configure(mScenario.config(drained, mWorkload.workShares()), mLoop.nowMillis());
    }

    // Programs

    private void start(ProgramPlan plan) {
        int workspace = 0;
        while (!mScenario.workspace(workspace).equals(plan.workspace())) {
            workspace++;
        }
        long hash = ShardId.hash(plan.workspace() + "/" + plan.arrivalMillis());
        int daemon = Math.floorMod(hash, mScenario.daemons());
        Flow.Program program = new Flow.Program(plan, workspace, daemon);
        Flow flow = new Flow(program, null, plan.chain());
        mFlows.add(flow);
        call(flow);
    }

    private void call(Flow flow) {
        int epoch = flow.beginTry();
        Flow.Program program = flow.program();
        double delay = CALLER_MILLIS;
        if (mDaemonLost[program.daemon()]) {
            delay += TAKEOVER_MILLIS;
            program.moveTo(liveDaemon(program.daemon()));
        }
        mLoop.after(delay, () -> handle(flow, epoch));
    }

    private int liveDaemon(int lost) {
        int daemon = lost;
        while (mDaemonLost[daemon]) {
            daemon = (daemon + 1) % mDaemonLost.length;
        }
        return daemon;
    }

    private void handle(Flow flow, int epoch) {
        if (!flow.isCurrent(epoch)) {
            return;
        }
        Flow.Program program = flow.program();
        RateModel.Decision rate =
                mRates.decide(program.workspace(), program.daemon(), mLoop.nowMillis());
        mStats.onCall(rate.withinRate());
        if (rate.retryAfterMillis() > 0) {
            mStats.onRateLimited();
            mStats.onRefused(rate.withinRate());
            mLoop.after(rate.retryAfterMillis() + 2 * CALLER_MILLIS, () -> handle(flow, epoch));
            return;
        }
        dispatch(flow, epoch, rate.withinRate());
    }

    private void dispatch(Flow flow, int epoch, boolean withinRate) {
        int daemon = flow.program().daemon();
        PickRequest request = request(flow);
        Either<Refusal, Pick> picked =
                mRouter.pick(daemon, request, flow.remainingWorkMillis(), mLoop.nowMillis());
        if (picked.isLeft()) {
            mStats.onRefused(withinRate);
            flow.excluded().clear();
            double retry = picked.getLeft().retryAfterMillis() + 2 * CALLER_MILLIS;
            mLoop.after(retry, () -> handle(flow, epoch));
            return;
        }
        Pick pick = picked.get();
        long attempt = ++mAttempts;
        mRouter.dispatched(daemon, attempt, request, pick, mLoop.nowMillis());
        int target = mEngineIndex.get(pick.target());
        double copy = pick.migrateFrom().map(source -> copy(flow, source, target)).orElse(0.0);
        double link = linkMillis(daemon, target);
        mLoop.after(copy + link, () -> submit(flow, epoch, attempt, pick, target, link));
    }

    private PickRequest request(Flow flow) {
        Flow.Program program = flow.program();
        return PickRequest.builder(program.id(), program.plan().workspace(), mScenario.service())
                .model(mScenario.model())
                .session(flow.session())
                .requestClass(program.plan().requestClass())
                .promptTokens(flow.promptTokens())
                .epochMillis(EPOCH_MILLIS + mLoop.nowMillis())
                .excluded(flow.excluded())
                .build();
    }

    /** Copies the cache of a session; returns the time that this takes. */
    private double copy(Flow flow, TargetId source, int target) {
        int from = mEngineIndex.get(source);
        int tokens = mEngines.get(from).held(flow.session());
        Zone a = mScenario.engineZone(from);
        Zone b = mScenario.engineZone(target);
        if (tokens == 0) {
            return COPY_FIXED_MILLIS;
        }
        // Copies of an engine share its network interface and therefore follow one another.
        double start = Math.max(mLoop.nowMillis(), Math.max(mCopyFree[from], mCopyFree[target]));
        double end = start + tokens / COPY_TOKENS_PER_MILLI;
        mCopyFree[from] = end;
        mCopyFree[target] = end;
        double millis =
                end - mLoop.nowMillis() + COPY_FIXED_MILLIS + 2 * mScenario.delayMillis(a, b);
        mStats.onMigration(tokens);
        mLoop.after(
                millis,
                () -> {
                    mEngines.get(from).release(flow.session());
                    mEngines.get(target).importSession(flow.session(), tokens);
                });
        return millis;
    }

    private double linkMillis(int daemon, int engine) {
        Zone from = mScenario.daemonZone(daemon);
        Zone to = mScenario.engineZone(engine);
        double lost = !from.equals(to) && mRandom.nextDouble() < LOSS_RATIO ? RETRANSMIT_MILLIS : 0;
        return mScenario.delayMillis(from, to) + lost;
    }

    // Calls at engines

    private void submit(Flow flow, int epoch, long attempt, Pick pick, int target, double link) {
        int daemon = flow.program().daemon();
        EngineModel.Call[] call = new EngineModel.Call[1];
        call[0] =
                new EngineModel.Call(
                        flow.session(),
                        flow.promptTokens(),
                        flow.turn().outputTokens(),
                        pick.priority(),
                        () ->
                                mLoop.after(
                                        link,
                                        () ->
                                                mRouter.firstToken(
                                                        daemon, attempt, mLoop.nowMillis())),
                        () -> mLoop.after(link, () -> done(flow, epoch, daemon, attempt, call[0])),
                        () -> mLoop.after(link, () -> failed(flow, epoch, daemon, attempt, pick)));
        mEngines.get(target).submit(call[0]);
    }

    private void done(Flow flow, int epoch, int daemon, long attempt, EngineModel.Call call) {
        if (!flow.isCurrent(epoch)) {
            return;
        }
        int prompt = flow.promptTokens();
        mStats.onComputed(
                prompt - call.cachedTokens(),
                Math.max(0, flow.computedTokens() - call.cachedTokens()));
        Usage usage = new Usage(prompt, flow.turn().outputTokens(), call.cachedTokens());
        mRouter.finished(daemon, attempt, usage, mLoop.nowMillis());
        mLoop.after(CALLER_MILLIS, () -> completed(flow));
    }

    private void completed(Flow flow) {
        if (flow.atLastTurn()) {
            end(flow);
            return;
        }
        ProgramPlan.Turn turn = flow.turn();
        flow.endCall(1 + turn.subAgents().size());
        PauseCacheAction advice =
                mRouter.pause(
                        flow.program().daemon(),
                        flow.session(),
                        Math.round(turn.pauseMillis()),
                        mLoop.nowMillis());
        if (advice == PauseCacheAction.RELEASE) {
            mEngines.forEach(e -> e.release(flow.session()));
        }
        mLoop.after(turn.pauseMillis(), () -> arrived(flow));
        for (List<ProgramPlan.Turn> chain : turn.subAgents()) {
            Flow sub = new Flow(flow.program(), flow, chain);
            mFlows.add(sub);
            call(sub);
        }
    }

    private void arrived(Flow flow) {
        if (flow.arrived()) {
            call(flow);
        }
    }

    private void end(Flow flow) {
        mFlows.remove(flow);
        if (flow.parent() != null) {
            arrived(flow.parent());
            return;
        }
        Flow.Program program = flow.program();
        record(program, true);
        mOpenPrograms--;
        for (TargetId held : mRouter.ended(program.daemon(), program.id(), program.sessions())) {
            EngineModel engine = mEngines.get(mEngineIndex.get(held));
            program.sessions().forEach(engine::release);
        }
    }

    private void record(Flow.Program program, boolean finished) {
        ProgramPlan plan = program.plan();
        if (plan.arrivalMillis() < WARM_UP * mSeconds * 1000) {
            return;
        }
        mStats.onProgram(
                new RunStats.Sample(
                        program.workspace(),
                        plan.kind(),
                        plan.requestClass(),
                        mLoop.nowMicros() / 1000.0 - plan.arrivalMillis(),
                        plan.aloneMillis(
                                EngineSpec.DEFAULT, CALLER_MILLIS + mScenario.localMillis()),
                        finished));
    }

    private void failed(Flow flow, int epoch, int daemon, long attempt, Pick pick) {
        mRouter.failed(daemon, attempt, mLoop.nowMillis());
        if (!flow.isCurrent(epoch)) {
            return;
        }
        flow.excluded().add(pick.target());
        if (flow.excluded().size() < Scenario.ENGINES && mRouter.tryRetry(daemon)) {
            dispatch(flow, epoch, true);
            return;
        }
        mStats.onFailed();
        flow.excluded().clear();
        mLoop.after(CLIENT_RETRY_MILLIS, () -> handle(flow, epoch));
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

    /** Ends a daemon; its programs repeat their running calls at another one. */
    void loseDaemon(int daemon) {
        mDaemonLost[daemon] = true;
        for (Flow flow : List.copyOf(mFlows)) {
            if (flow.program().daemon() == daemon && flow.inCall()) {
                call(flow);
            }
        }
    }
}
