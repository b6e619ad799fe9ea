package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.http.HttpEngineClient;
import org.heathercourse.platform.http.HttpSettings;
import org.heathercourse.platform.http.HttpTransport;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.LoadCounters;
import org.heathercourse.testing.load.LoadCounters.Counter;
import org.heathercourse.testing.load.Pauses;
import org.heathercourse.testing.load.ProgramRunner;

/** One run of the fault-injection bench on a started deployment. Used once, by one thread. */
final class FaultsRun {
    /**
     * Rate of the workspace whose traffic exceeds its rate several times, in requests per second.
     */
    static final double RATE_PER_SECOND = 20;

    /** Burst of the same workspace, in requests. */
    static final double BURST = 20;

    private static final int CALLERS = 12;
    private static final int MAX_CONCURRENT_FAULTS = 2;
    private static final long RELEASE_TIMEOUT_MILLIS = 130_000;
    private static final long CALLER_TIMEOUT_SECONDS = 180;
    private static final long PROBE_TIMEOUT_SECONDS = 60;

    private final LocalDeployment mDeployment;
    private final int mEngines;
    private final long mSeed;
    private final long mDurationMillis;
    private final Violations mViolations = new Violations();
    private final LoadCounters mCounters = new LoadCounters();
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final RateCeiling mCeiling = new RateCeiling(RATE_PER_SECOND, BURST);

    FaultsRun(LocalDeployment deployment, int engines, long seed, long durationMillis) {
        mDeployment = deployment;
        mEngines = engines;
        mSeed = seed;
        mDurationMillis = durationMillis;
    }

    ObjectNode run() throws Exception {
        ExecutorService probes = Executors.newCachedThreadPool();
        ExecutorService callers = Executors.newCachedThreadPool();
        ExecutorService agents = Executors.newCachedThreadPool();
        TakeoverProbe takeover =
                new TakeoverProbe(mDeployment, mDeployment.key("probe-shop"), probes);
        takeover.startPrograms();
        for (int i = 0; i < CALLERS; i++) {
            startCaller(i, callers, agents);
        }
        KeyAndConfigProbe keyProbe = new KeyAndConfigProbe(mDeployment, mViolations, mStopped);
        RefusalProbe refusalProbe = new RefusalProbe(mDeployment, mViolations, mStopped);
        probes.execute(keyProbe::run);
        probes.execute(
                () ->
                        refusalProbe.run(
                                mDeployment.key("probe-shop"), mDeployment.key("loom-hall")));
        probes.execute(new DrainProbe(mDeployment, mViolations, mStopped)::run);
        new RateProbe(mDeployment, mStopped, mCeiling).start(probes, mDeployment.key("rate-shop"));
        FaultInjector injector =
                new FaultInjector(mDeployment, mEngines, mCounters, mViolations, takeover);
        ExecutorService faults = Executors.newCachedThreadPool();
        for (int i = 0; i < MAX_CONCURRENT_FAULTS; i++) {
            boolean gracefulStops = i == 0;
            SplittableRandom random = new SplittableRandom(mSeed * 31 + i);
            faults.execute(() -> injector.run(random, gracefulStops));
        }
        printProgress(injector);
        injector.stop();
        faults.shutdown();
        if (!faults.awaitTermination(CALLER_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            System.err.println(
                    "fault injection did not end within " + CALLER_TIMEOUT_SECONDS + " s");
        }
        injector.clearAllFaults();
        mStopped.set(true);
        callers.shutdown();
        if (!callers.awaitTermination(CALLER_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            mViolations.add(
                    Guarantee.WHOLE_ANSWERS,
                    "a caller did not end within " + CALLER_TIMEOUT_SECONDS + " s");
        }
        long takeoverMillis = takeover.p99Millis();
        checkGuarantees(refusalProbe);
        probes.shutdown();
        if (!probes.awaitTermination(PROBE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            System.err.println("probes did not end within " + PROBE_TIMEOUT_SECONDS + " s");
        }
        probes.shutdownNow();
        agents.shutdownNow();
        return toJson(injector, keyProbe, refusalProbe, takeoverMillis);
    }

    private void startCaller(int number, ExecutorService threads, ExecutorService agents) {
        SplittableRandom random = new SplittableRandom(mSeed * 1_000 + number);
        ProgramGenerator generator =
                new ProgramGenerator(random, List.of("loom-hall", "harbour-mill", "dance-school"));
        ProgramRunner runner =
                ProgramRunner.builder()
                        .client(new CallerClient(mDeployment.callerUrls(), number))
                        .counters(mCounters)
                        .agents(agents)
                        .requestTimeoutMillis(90_000)
                        .build();
        threads.execute(
                () -> {
                    while (!mStopped.get()) {
                        var program = generator.generate("c" + number);
                        if (!runner.run(program, mDeployment.key(program.workspace()))) {
                            System.err.println("program failed program=" + program.program());
                        }
                    }
                });
    }

    private void printProgress(FaultInjector injector) {
        for (long remainingMillis = mDurationMillis;
                remainingMillis > 0;
                remainingMillis -= 5_000) {
            Pauses.pause(Math.min(remainingMillis, 5_000));
            System.err.printf(
                    "turns=%d faults=%d violations=%d%n",
                    mCounters.get(Counter.TURNS), injector.mFaultCount.get(), mViolations.total());
        }
    }

    private void checkGuarantees(RefusalProbe refusalProbe) throws IOException {
        long heldTokens = mDeployment.stats().heldCacheTokens();
        for (long waitedMillis = 0;
                heldTokens > 0 && waitedMillis < RELEASE_TIMEOUT_MILLIS;
                waitedMillis += 200) {
            Pauses.pause(200);
            heldTokens = mDeployment.stats().heldCacheTokens();
        }
        mViolations.add(
                Guarantee.MEMORY_RELEASED,
                heldTokens,
                "cache tokens held after the end of all programs, sessions by engine:"
                        + describeHeldSessions());
        refusalProbe.checkEffects();
        JsonNode stats = mDeployment.stats().read("/stats");
        mViolations.add(
                Guarantee.ORDER,
                stats.path("out_of_order").asLong(),
                "turns that reached an engine before the answer of an earlier turn");
        mViolations.add(
                Guarantee.HISTORY,
                stats.path("lost_history").asLong(),
                "prompts with an incomplete or wrong history");
        mViolations.add(
                Guarantee.HISTORY,
                mCounters.get(Counter.LOST_PROGRAMS),
                "programs that the daemons no longer have");
        mViolations.add(
                Guarantee.HISTORY,
                stats.path("mixed_history").asLong(),
                "prompts with turns of another program");
        mViolations.add(
                Guarantee.BUDGET,
                stats.path("over_budget").asLong(),
                "programs that exceeded their token budget");
        mViolations.add(
                Guarantee.KEY_SECRECY,
                stats.path("leaked_keys").asLong(),
                "requests to targets that contained a workspace key");
        mViolations.add(
                Guarantee.AT_MOST_ONCE,
                stats.path("duplicate_side_effects").asLong(),
                "duplicate side effects");
        mViolations.add(
                Guarantee.WHOLE_ANSWERS,
                mCounters.get(Counter.CROSSED_ANSWERS),
                "answers to another request");
        mViolations.add(
                Guarantee.WHOLE_ANSWERS,
                mCounters.get(Counter.TRUNCATED_ANSWERS),
                "truncated answers");
        mViolations.add(
                Guarantee.RATE_CEILING, mCeiling.maxExcess(), "requests above rate and burst");
    }

    /** Describes the sessions still cached by each engine. */
    private String describeHeldSessions() {
        StringBuilder out = new StringBuilder();
        EngineClient engines =
                new HttpEngineClient(new HttpTransport(HttpSettings.builder().build()));
        mDeployment
                .targetPorts()
                .forEach(
                        (name, port) -> {
                            if (name.startsWith("engine-")) {
                                String url = "http://127.0.0.1:" + port;
                                TargetAddress address = new TargetAddress(new TargetId(name), url);
                                out.append(' ').append(name).append(engines.sessions(address));
                            }
                        });
        return out.toString();
    }

    private ObjectNode toJson(
            FaultInjector injector,
            KeyAndConfigProbe keyProbe,
            RefusalProbe refusalProbe,
            long takeoverMillis) {
        ObjectNode out = new ObjectMapper().createObjectNode();
        out.put("seed", mSeed);
        out.put("requests", mCounters.get(Counter.REQUESTS) + refusalProbe.mSent.get());
        out.put("programs", mCounters.get(Counter.PROGRAMS));
        out.put("completed", mCounters.get(Counter.COMPLETED));
        out.put("faults", injector.mFaultCount.get());
        out.put("kills", injector.mKillCount.get());
        out.put("pauses", injector.mPauseCount.get());
        out.put("store_outages", injector.mStoreOutageCount.get());
        out.put("graceful_stops", injector.mGracefulStopCount.get());
        out.set("violations", mViolations.toJson());
        out.put(
                "unknown_outcomes",
                mCounters.get(Counter.UNKNOWN_OUTCOMES) + refusalProbe.mUnknownOutcomes.get());
        out.put(
                "refused_not_run",
                mCounters.get(Counter.REFUSED_NOT_RUN) + refusalProbe.notRunCount());
        out.put("recovered_programs", mCounters.get(Counter.RECOVERED_PROGRAMS));
        out.put("takeover_p99_ms", takeoverMillis);
        out.put("key_withdrawals", keyProbe.mWithdrawals.get());
        out.put("key_withdrawal_max_ms", keyProbe.mWithdrawalMaxMillis.get());
        out.put("config_in_force_max_ms", keyProbe.mInForceMaxMillis.get());
        return out;
    }
}
