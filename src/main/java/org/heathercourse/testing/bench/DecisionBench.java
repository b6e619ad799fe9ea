package org.heathercourse.testing.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.LinkSpec;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.placement.LoadReport;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;
import org.heathercourse.core.placement.Scheduler;
import org.heathercourse.core.placement.SchedulerSettings;
import org.heathercourse.core.time.Ticker;

/**
 * Measures the time and the memory of scheduling decisions at the intended size of a deployment and
 * at a tenth of it.
 *
 * <p>One scheduler holds all programs, which is the worst case: in a deployment they are
 * distributed over the owners. Memory is the growth of the used heap after garbage collection. The
 * last line of standard output is one JSON object.
 */
public final class DecisionBench {
    private static final int MODELS = 28;
    private static final int WORKSPACES = 360;
    private static final int ZONES = 6;
    private static final int WARM_UP_CALLS = 300_000;
    private static final int MEASURED_CALLS = 300_000;
    private static final int SLOTS = 32;
    private static final ServiceId SERVICE = new ServiceId("models");

    private final Ticker mTicker;
    private final int mEngines;
    private final int mPrograms;
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private long mNowMillis;
    private long mAttempts;

    DecisionBench(Ticker ticker, int engines, int programs) {
        mTicker = ticker;
        mEngines = engines;
        mPrograms = programs;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code [--engines 890] [--programs 37000] --json}
     * @throws JsonProcessingException if the result cannot be written as JSON
     */
    public static void main(String[] args) throws JsonProcessingException {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> engines =
                parser.accepts("engines").withRequiredArg().ofType(Integer.class).defaultsTo(890);
        OptionSpec<Integer> programs =
                parser.accepts("programs")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(37_000);
        parser.accepts("json", "print the result as JSON (always done)");
        OptionSet options = parser.parse(args);
        int e = options.valueOf(engines);
        int p = options.valueOf(programs);
        Map<String, Object> small =
                new DecisionBench(Ticker.system(), Math.max(MODELS, e / 10), p / 10).run();
        Map<String, Object> full = new DecisionBench(Ticker.system(), e, p).run();
        Map<String, Object> json = new LinkedHashMap<>(full);
        json.put("tenth", small);
        System.out.println(new ObjectMapper().writeValueAsString(json));
    }

    /** Measures one size; returns the figures by their names in the JSON result. */
    Map<String, Object> run() {
        DeploymentConfig config = buildConfig();
        long before = usedBytes();
        Scheduler scheduler =
                new Scheduler(new Zone("z0"), SchedulerSettings.DEFAULT, mRandom.split());
        scheduler.onConfig(config, 64, 0);
        sendReports(scheduler);
        long withEngines = usedBytes();
        String[] sessions = new String[mPrograms];
        ProgramId[] programs = new ProgramId[mPrograms];
        for (int i = 0; i < mPrograms; i++) {
            programs[i] = new ProgramId("program-" + i);
            sessions[i] = "program-" + i + "-0";
        }
        for (int i = 0; i < mPrograms; i++) {
            measurePick(scheduler, programs, sessions, i, null);
        }
        long withPrograms = usedBytes();
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            measurePick(scheduler, programs, sessions, mRandom.nextInt(mPrograms), null);
        }
        Histogram nanos = new Histogram(1_000_000_000L, 3);
        for (int i = 0; i < MEASURED_CALLS; i++) {
            measurePick(scheduler, programs, sessions, mRandom.nextInt(mPrograms), nanos);
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("engines", mEngines);
        json.put("programs", mPrograms);
        json.put("pick_p50_us", nanos.getValueAtPercentile(50) / 1000.0);
        json.put("pick_p99_us", nanos.getValueAtPercentile(99) / 1000.0);
        json.put("bytes_per_program", (withPrograms - withEngines) / mPrograms);
        json.put("bytes_per_engine", (withEngines - before) / mEngines);
        System.err.println("engines=" + mEngines + " programs=" + mPrograms + " done");
        return json;
    }

    private void measurePick(
            Scheduler scheduler,
            ProgramId[] programs,
            String[] sessions,
            int program,
            Histogram nanos) {
        // 3,000 calls per second, as at the intended size, with load reports every 0.5 s.
        mNowMillis += mAttempts % 3 == 0 ? 1 : 0;
        if (mAttempts % 1500 == 0) {
            sendReports(scheduler);
        }
        PickRequest request =
                PickRequest.builder(
                                programs[program],
                                new WorkspaceId("workspace-" + program % WORKSPACES),
                                SERVICE)
                        .model("model-" + program % MODELS)
                        .session(sessions[program])
                        .requestClass(RequestClass.INTERACTIVE)
                        .promptTokens(2_000 + mRandom.nextInt(10_000))
                        .epochMillis(mNowMillis)
                        .build();
        long start = mTicker.readNanos();
        Either<Refusal, Pick> picked = scheduler.pick(request, mNowMillis);
        if (nanos != null) {
            nanos.recordValue(mTicker.readNanos() - start);
        }
        if (picked.isRight()) {
            long attempt = ++mAttempts;
            scheduler.onDispatched(attempt, request, picked.get(), mNowMillis);
            scheduler.onFirstToken(attempt, mNowMillis);
            scheduler.onFinished(
                    attempt,
                    new Usage(request.promptTokens(), 150, picked.get().cachedTokens()),
                    mNowMillis);
        }
    }

    private void sendReports(Scheduler scheduler) {
        for (int i = 0; i < mEngines; i++) {
            int running = mRandom.nextInt(SLOTS);
            scheduler.onLoadReport(
                    new TargetId("engine-" + i),
                    new LoadReport(
                            running, 0, 0, 100_000, 400_000, List.of("model-" + i % MODELS), 300),
                    mNowMillis);
        }
    }

    private DeploymentConfig buildConfig() {
        List<TargetSpec> targets = new ArrayList<>();
        for (int i = 0; i < mEngines; i++) {
            targets.add(
                    new TargetSpec(
                            new TargetId("engine-" + i),
                            SERVICE,
                            new Zone("z" + i % ZONES),
                            "http://127.0.0.1:9000",
                            List.of("model-" + i % MODELS),
                            true,
                            4 * SLOTS,
                            LifecycleState.UP,
                            ""));
        }
        List<LinkSpec> links = new ArrayList<>();
        for (int i = 0; i < ZONES; i++) {
            for (int k = i + 1; k < ZONES; k++) {
                links.add(new LinkSpec(new Zone("z" + i), new Zone("z" + k), 5, 0.001, 0.05));
            }
        }
        List<WorkspaceSpec> workspaces = new ArrayList<>();
        for (int i = 0; i < WORKSPACES; i++) {
            workspaces.add(
                    new WorkspaceSpec(
                            new WorkspaceId("workspace-" + i), List.of(), 100, 100, 0, 1));
        }
        return DeploymentConfig.builder()
                .targets(targets)
                .links(links)
                .workspaces(workspaces)
                .build();
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        // A single collection may leave garbage of the previous phase.
        for (int i = 0; i < 3; i++) {
            runtime.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
