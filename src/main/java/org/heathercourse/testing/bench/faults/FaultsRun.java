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

/** One run of the faults bench against a started deployment. Used once, by one thread. */
final class FaultsRun {
    /** Rate and burst of the workspace that sends several times its rate. */
    static final double RATE_PER_SECOND = 20;

    static final double BURST = 20;

    private static final int CALLERS = 12;
    private static final int FAULTS_AT_ONCE = 2;
    private static final long RELEASE_WAIT_MILLIS = 130_000;
    private static final long CALLER_END_SECONDS = 180;
    private static final long PROBE_END_SECONDS = 60;

    private final LocalDeployment mDeployment;
    private final int mEngines;
    private final long mSeed;
    private final long mMillis;
    private final Violations mViolations = new Violations();
    private final LoadCounters mCounters = new LoadCounters();
    private final AtomicBoolean mStop = new AtomicBoolean();
    private final RateCeiling mCeiling = new RateCeiling(RATE_PER_SECOND, BURST);

    FaultsRun(LocalDeployment deployment, int engines, long seed, long millis) {
        mDeployment = deployment;
        mEngines = engines;
        mSeed = seed;
        mMillis = millis;
    }

    ObjectNode run() throws Exception {
        ExecutorService probes = Executors.newCachedThreadPool();
        ExecutorService callers = Executors.newCachedThreadPool();
        ExecutorService agents = Executors.newCachedThreadPool();
        TakeoverProbe takeover =
                new TakeoverProbe(mDeployment, mDeployment.key("probe-shop"), probes);
        takeover.start();
        for (int i = 0; i < CALLERS; i++) {
            startCaller(i, callers, agents);
        }
        KeyAndConfigProbe keys = new KeyAndConfigProbe(mDeployment, mViolations, mStop);
        RefusalProbe refusals = new RefusalProbe(mDeployment, mViolations, mStop);
        probes.execute(keys::run);
        probes.execute(
                () -> refusals.run(mDeployment.key("probe-shop"), mDeployment.key("loom-hall")));
        probes.execute(new DrainProbe(mDeployment, mViolations, mStop)::run);
        new RateProbe(mDeployment, mStop, mCeiling).start(probes, mDeployment.key("rate-shop"));
        FaultInjector injector =
                new FaultInjector(mDeployment, mEngines, mCounters, mViolations, takeover);
        ExecutorService faults = Executors.newCachedThreadPool();
        for (int i = 0; i < FAULTS_AT_ONCE; i++) {
            boolean gracefulStops = i == 0;
            SplittableRandom random = new SplittableRandom(mSeed * 31 + i);
            faults.execute(() -> injector.run(random, gracefulStops));
        }
        showProgress(injector);
        injector.stop();
        faults.shutdown();
        if (!faults.awaitTermination(CALLER_END_SECONDS, TimeUnit.SECONDS)) {
            System.err.println("a fault did not end in time");
        }
        injector.healAll();
        mStop.set(true);
        callers.shutdown();
        if (!callers.awaitTermination(CALLER_END_SECONDS, TimeUnit.SECONDS)) {
            mViolations.add(Promise.WHOLE_ANSWERS, "a caller waits for ever");
        }
        long takeoverMillis = takeover.p99Millis();
        judge(refusals);
        probes.shutdown();
        if (!probes.awaitTermination(PROBE_END_SECONDS, TimeUnit.SECONDS)) {
            System.err.println("a probe did not end in time");
        }
        probes.shutdownNow();
        agents.shutdownNow();
        return result(injector, keys, refusals, takeoverMillis);
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
                    while (!mStop.get()) {
                        var program = generator.next("c" + number);
                        if (!runner.run(program, mDeployment.key(program.workspace()))) {
                            System.err.println("program " + program.program() + " failed");
                        }
                    }
                });
    }

    private void showProgress(FaultInjector injector) {
        for (long left = mMillis; left > 0; left -= 5_000) {
            Pauses.pause(Math.min(left, 5_000));
            System.err.printf(
                    "turns %d, faults %d, violations %d%n",
                    mCounters.get(Counter.TURNS), injector.mFaults.get(), mViolations.total());
        }
    }

    private void judge(RefusalProbe refusals) throws IOException {
        long held = mDeployment.stats().heldCacheTokens();
        for (long waited = 0; held > 0 && waited < RELEASE_WAIT_MILLIS; waited += 200) {
            Pauses.pause(200);
            held = mDeployment.stats().heldCacheTokens();
        }
        mViolations.add(
                Promise.MEMORY_RELEASED,
                held,
                "tokens held by programs that are gone" + sessions());
        refusals.judge();
        JsonNode seen = mDeployment.stats().read("/stats");
        mViolations.add(Promise.ORDER, seen.path("out_of_order").asLong(), "turns out of order");
        mViolations.add(Promise.HISTORY, seen.path("lost_history").asLong(), "lost history");
        mViolations.add(
                Promise.HISTORY,
                mCounters.get(Counter.LOST_PROGRAMS),
                "programs not known any more");
        mViolations.add(Promise.HISTORY, seen.path("mixed_history").asLong(), "mixed history");
        mViolations.add(Promise.BUDGET, seen.path("over_budget").asLong(), "over budget");
        mViolations.add(Promise.KEY_SECRECY, seen.path("leaked_keys").asLong(), "leaked keys");
        mViolations.add(
                Promise.AT_MOST_ONCE,
                seen.path("duplicate_side_effects").asLong(),
                "duplicate side effects");
        mViolations.add(
                Promise.WHOLE_ANSWERS, mCounters.get(Counter.CROSSED_ANSWERS), "crossed answers");
        mViolations.add(
                Promise.WHOLE_ANSWERS,
                mCounters.get(Counter.TRUNCATED_ANSWERS),
                "truncated answers");
        mViolations.add(Promise.RATE_CEILING, mCeiling.excess(), "requests above the ceiling");
    }

    /** Returns the sessions that engines still hold. */
    private String sessions() {
        StringBuilder out = new StringBuilder();
        EngineClient engines =
                new HttpEngineClient(new HttpTransport(HttpSettings.builder().build()));
        mDeployment
                .targetPorts()
                .forEach(
                        (name, port) -> {
                            if (name.startsWith("engine-")) {
                                String url = "http://127.0.0.1:" + port;
                                TargetAddress at = new TargetAddress(new TargetId(name), url);
                                out.append(' ').append(name).append(engines.sessions(at));
                            }
                        });
        return out.toString();
    }

    private ObjectNode result(
            FaultInjector injector,
            KeyAndConfigProbe keys,
            RefusalProbe refusals,
            long takeoverMillis) {
        ObjectNode out = new ObjectMapper().createObjectNode();
        out.put("seed", mSeed);
        out.put("requests", mCounters.get(Counter.REQUESTS) + refusals.mSent.get());
        out.put("programs", mCounters.get(Counter.PROGRAMS));
        out.put("completed", mCounters.get(Counter.COMPLETED));
        out.put("faults", injector.mFaults.get());
        out.put("kills", injector.mKills.get());
        out.put("pauses", injector.mPauses.get());
        out.put("store_outages", injector.mStoreOutages.get());
        out.put("graceful_stops", injector.mGracefulStops.get());
        out.set("violations", mViolations.toJson());
        out.put(
                "unknown_outcomes",
                mCounters.get(Counter.UNKNOWN_OUTCOMES) + refusals.mUnknown.get());
        out.put("refused_not_run", mCounters.get(Counter.REFUSED_NOT_RUN) + refusals.notRun());
        out.put("recovered_programs", mCounters.get(Counter.RECOVERED_PROGRAMS));
        out.put("takeover_p99_ms", takeoverMillis);
        out.put("key_withdrawals", keys.mWithdrawals.get());
        out.put("key_withdrawal_max_ms", keys.mWithdrawalMaxMillis.get());
        out.put("config_in_force_max_ms", keys.mInForceMaxMillis.get());
        return out;
    }
}
