package org.heathercourse.testing.hosted;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.SoakCaller.Behavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Stops gateway processes as planned at random times under load, with restarts, repeated signals
 * and changes of the configuration.
 *
 * <p>The system properties stopSoak.seed, stopSoak.seconds and stopSoak.gateways change its course.
 * The output of the gateways goes to target/stop-soak.
 */
class PlannedStopSoakTest {
    private static final long SEED = Long.getLong("stopSoak.seed", 1);
    private static final int DURATION_SECONDS = Integer.getInteger("stopSoak.seconds", 40);
    private static final int GATEWAYS = Integer.getInteger("stopSoak.gateways", 3);
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "stop-soak");

    /** Grace period in seconds: shorter than on the platform, for more stops in the same time. */
    private static final int GRACE_SECONDS = 4;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long GRACE_MILLIS = GRACE_SECONDS * MILLIS_PER_SECOND;
    private static final long MAX_START_MILLIS = 60_000;

    /** Longest work of a target on one request, in milliseconds, with a margin. */
    private static final long MAX_WORK_MILLIS = 2_000;

    private static final long POLL_MILLIS = 50;
    private static final int MIN_STEP_MILLIS = 50;
    private static final int MAX_STEP_MILLIS = 500;
    private static final int MIN_RATE_PER_SECOND = 1_000;
    private static final int MAX_RATE_PER_SECOND = 3_000;

    /** Callers of each gateway. */
    private static final Map<Behavior, Integer> CALLERS =
            Map.of(
                    Behavior.STEADY, 3,
                    Behavior.KEPT, 3,
                    Behavior.IDLE, 3,
                    Behavior.NEW_CONNECTION, 2,
                    Behavior.SLOW_SENDER, 2,
                    Behavior.SLOW_READER, 2,
                    Behavior.PIPELINED, 2);

    private final Ticker mTicker = Ticker.system();
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final HostedDeployment mDeployment = new HostedDeployment();
    private final List<SoakGateway> mGateways = new ArrayList<>();
    private final List<SoakCaller> mCallers = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();

    @AfterEach
    void close() {
        mCallers.forEach(SoakCaller::stop);
        mDeployment.close();
    }

    /** Guards against requests that are cut, lost or wrongly refused when a gateway leaves. */
    @Tag("known-red")
    @Test
    void answersWhatTargetsReceivedInPlannedStops() throws IOException, InterruptedException {
        System.out.println("seed " + SEED + ", " + DURATION_SECONDS + " s, gateways " + GATEWAYS);
        startGateways();
        startCallers();
        long endMillis = mTicker.readMillis() + DURATION_SECONDS * MILLIS_PER_SECOND;
        while (mTicker.readMillis() < endMillis) {
            Thread.sleep(mRandom.nextInt(MIN_STEP_MILLIS, MAX_STEP_MILLIS));
            act();
            restartSome();
        }
        stopGateways();
        stopCallers();
        StopJudge judge = judge();
        System.out.println("seed " + SEED + ": " + judge.summary());
        judge.violations().forEach(System.out::println);
        assertThat(judge.violations().size()).as("seed %d: %s", SEED, judge.summary()).isZero();
    }

    // Gateways

    private void startGateways() throws IOException, InterruptedException {
        Files.createDirectories(OUTPUT_DIRECTORY);
        for (int i = 0; i < GATEWAYS; i++) {
            String vm = "vm-" + i;
            File output = OUTPUT_DIRECTORY.resolve("seed-" + SEED + "-" + vm + ".log").toFile();
            Files.deleteIfExists(output.toPath());
            Map<String, String> variables =
                    Map.of(
                            Setting.STOP_GRACE_SECONDS.environmentVariable(),
                            Integer.toString(GRACE_SECONDS));
            mGateways.add(
                    new SoakGateway(
                            mDeployment, vm, SoakGateway.command(), variables, output, mTicker));
        }
        await("a gateway is not ready", () -> serving().size() == GATEWAYS);
    }

    private List<SoakGateway> serving() {
        return new ArrayList<>(mGateways.stream().filter(SoakGateway::isServing).toList());
    }

    private void await(String problem, BooleanSupplier condition) throws InterruptedException {
        long endMillis = mTicker.readMillis() + MAX_START_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(mTicker.readMillis()).as(problem).isLessThan(endMillis);
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void stopGateways() throws InterruptedException {
        await("a gateway does not start", () -> mGateways.stream().allMatch(this::isStoppable));
        mGateways.forEach(SoakGateway::stop);
        await(
                "a gateway does not exit",
                () -> mGateways.stream().allMatch(gateway -> gateway.run().hasExited()));
    }

    /** Returns whether SIGTERM makes the process leave, or the process has exited. */
    private boolean isStoppable(SoakGateway gateway) {
        return gateway.isServing() || gateway.run().wasStopped() || gateway.run().hasExited();
    }

    // Random course

    private void act() {
        switch (mRandom.nextInt(8)) {
            case 0, 1 -> stopOne();
            case 2 -> {
                stopOne();
                stopOne();
            }
            case 3 -> chooseLeaving().forEach(SoakGateway::stop);
            case 4 -> chooseLeaving().forEach(SoakGateway::hangUp);
            case 5 -> serving().forEach(SoakGateway::hangUp);
            case 6 -> configure();
            default -> {}
        }
    }

    /** Stops one of the serving gateways unless it is the last. */
    private void stopOne() {
        List<SoakGateway> serving = serving();
        if (serving.size() > 1) {
            serving.get(mRandom.nextInt(serving.size())).stop();
        }
    }

    private List<SoakGateway> chooseLeaving() {
        return mGateways.stream()
                .filter(gateway -> gateway.isLeaving() && mRandom.nextBoolean())
                .toList();
    }

    private void configure() {
        mDeployment.configure(
                HostedDeployment.KEY, mRandom.nextInt(MIN_RATE_PER_SECOND, MAX_RATE_PER_SECOND));
    }

    private void restartSome() {
        mGateways.stream()
                .filter(gateway -> gateway.run().hasExited() && mRandom.nextBoolean())
                .forEach(SoakGateway::restart);
    }

    // Callers

    private void startCallers() {
        for (Behavior behavior : Behavior.values()) {
            for (SoakGateway gateway : mGateways) {
                for (int i = 0; i < CALLERS.get(behavior); i++) {
                    startCaller(behavior, gateway);
                }
            }
        }
    }

    private void startCaller(Behavior behavior, SoakGateway gateway) {
        SoakCaller caller =
                new SoakCaller("c" + mCallers.size(), behavior, gateway, mRandom.split(), mTicker);
        Thread thread = new Thread(caller, "soak-caller-" + mCallers.size());
        thread.setDaemon(true);
        mCallers.add(caller);
        mThreads.add(thread);
        thread.start();
    }

    private void stopCallers() throws InterruptedException {
        mCallers.forEach(SoakCaller::stop);
        for (Thread thread : mThreads) {
            thread.join();
        }
        Thread.sleep(MAX_WORK_MILLIS);
    }

    private StopJudge judge() {
        StopJudge judge =
                new StopJudge(
                        GRACE_MILLIS,
                        mGateways.stream().flatMap(gateway -> gateway.runs().stream()).toList(),
                        List.of(mDeployment.engineA(), mDeployment.engineB(), mDeployment.plain()));
        mCallers.forEach(caller -> caller.requests().forEach(judge::judge));
        judge.judgeServedShare();
        mGateways.forEach(gateway -> gateway.runs().forEach(judge::judge));
        return judge;
    }
}
