package org.heathercourse.testing.hosted;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Sends requests through gateway processes to targets that answer twice, the second time late.
 *
 * <p>The system properties secondAnswerSoak.seed, .seconds, .gateways, .callers and .variants
 * (names of {@link SecondAnswer}, separated by commas) change its course. The output of the
 * gateways goes to target/second-answer-soak.
 */
class SecondAnswerSoakTest {
    private static final String PROPERTIES = "secondAnswerSoak.";
    private static final long SEED = Long.getLong(PROPERTIES + "seed", 1);
    private static final int DURATION_SECONDS = Integer.getInteger(PROPERTIES + "seconds", 8);
    private static final int GATEWAYS = Integer.getInteger(PROPERTIES + "gateways", 2);
    private static final String VARIANTS = System.getProperty(PROPERTIES + "variants", "");
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "second-answer-soak");
    private static final Duration MAX_START = Duration.ofSeconds(60);
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Longest work of a target on one request, in milliseconds, with a margin. */
    private static final long MAX_WORK_MILLIS = 1_000;

    /** Callers of each gateway; every other one keeps its connection. */
    private static final int CALLERS = Integer.getInteger(PROPERTIES + "callers", 12);

    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final HostedDeployment mDeployment = new HostedDeployment();
    private final List<SecondAnswerCaller> mCallers = new ArrayList<>();
    private final List<Thread> mThreads = new ArrayList<>();

    @AfterEach
    void close() {
        mCallers.forEach(SecondAnswerCaller::stop);
        mDeployment.close();
    }

    /** Guards against answers of targets that reach a caller with another status or request. */
    @Test
    void deliversTrueAnswersOfTargetsThatAnswerTwice() throws IOException, InterruptedException {
        List<SecondAnswer> variants = variants();
        SecondAnswers answers = new SecondAnswers(mRandom.split(), variants);
        List.of(mDeployment.engineA(), mDeployment.engineB(), mDeployment.plain())
                .forEach(target -> target.answerTwice(answers));
        startGateways().forEach(this::startCallers);
        Thread.sleep(DURATION_SECONDS * MILLIS_PER_SECOND);
        stopCallers();
        SecondAnswerJudge judge = new SecondAnswerJudge(answers);
        mCallers.forEach(caller -> caller.attempts().forEach(judge::judge));
        judge.judgeCoverage(variants);
        String summary = "seed " + SEED + ", " + variants + ": " + judge.summary();
        System.out.println(summary);
        judge.violations().forEach(System.out::println);
        assertThat(judge.violations().size()).as(summary).isZero();
    }

    private static List<SecondAnswer> variants() {
        return VARIANTS.isEmpty()
                ? List.of(SecondAnswer.values())
                : Arrays.stream(VARIANTS.split(",")).map(SecondAnswer::valueOf).toList();
    }

    private List<SoakGateway> startGateways() throws IOException {
        Files.createDirectories(OUTPUT_DIRECTORY);
        List<SoakGateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            String vm = "vm-" + i;
            Path output = OUTPUT_DIRECTORY.resolve("seed-" + SEED + "-" + vm + ".log");
            Files.deleteIfExists(output);
            gateways.add(
                    new SoakGateway(
                            mDeployment,
                            vm,
                            SoakGateway.command(),
                            Map.of(),
                            output.toFile(),
                            Ticker.system()));
        }
        await().atMost(MAX_START).until(() -> gateways.stream().allMatch(SoakGateway::isServing));
        return gateways;
    }

    private void startCallers(SoakGateway gateway) {
        for (int i = 0; i < CALLERS; i++) {
            SecondAnswerCaller caller =
                    new SecondAnswerCaller(
                            "c" + mCallers.size(), gateway.address(), i % 2 == 0, mRandom.split());
            Thread thread = new Thread(caller, "soak-caller-" + mCallers.size());
            thread.setDaemon(true);
            mCallers.add(caller);
            mThreads.add(thread);
            thread.start();
        }
    }

    private void stopCallers() throws InterruptedException {
        mCallers.forEach(SecondAnswerCaller::stop);
        for (Thread thread : mThreads) {
            thread.join();
        }
        Thread.sleep(MAX_WORK_MILLIS);
    }
}
