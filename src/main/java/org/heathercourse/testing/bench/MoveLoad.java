package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.LoadCounters;
import org.heathercourse.testing.load.Pauses;
import org.heathercourse.testing.load.ProgramRunner;
import org.heathercourse.testing.load.TraceProgram;
import org.heathercourse.testing.load.TraceStep;

/**
 * Open-loop load of the warping works: programs of all workspaces, started at a fixed rate whether
 * or not earlier ones have ended.
 *
 * <p>Call {@link #start()} once, then {@link #stop()} once. Safe for use by several threads.
 */
final class MoveLoad {
    private static final long BUDGET_TOKENS = 50_000;

    /**
     * One program in this many is a single call with a long answer; rare enough not to decide the
     * percentile.
     */
    private static final int LONG_PROGRAM_INTERVAL = 40;

    private final LocalDeployment mDeployment;
    private final SplittableRandom mRandom;
    private final long mPeriodMillis;
    private final int mLongWords;
    private final Ticker mTicker = Ticker.system();
    private final LoadCounters mCounters = new LoadCounters();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<ProgramRunner> mRunners = new ArrayList<>();
    private final Queue<CompletedProgram> mCompleted = new ConcurrentLinkedQueue<>();
    private volatile boolean mStop;

    /** Start and duration of a program that has ended. */
    private record CompletedProgram(long startMillis, long durationMillis) {}

    /**
     * Creates the load.
     *
     * @param deployment the deployment
     * @param seed seed of the random programs
     * @param periodMillis time between the starts of two programs, in milliseconds
     * @param longWords words of the long answers, which are still generated while a daemon drains
     */
    MoveLoad(LocalDeployment deployment, long seed, long periodMillis, int longWords) {
        mDeployment = deployment;
        mRandom = new SplittableRandom(seed);
        mPeriodMillis = periodMillis;
        mLongWords = longWords;
        for (int i = 0; i < deployment.workspaces().size(); i++) {
            mRunners.add(
                    ProgramRunner.builder()
                            .client(new CallerClient(deployment.callerUrls(), i))
                            .counters(mCounters)
                            .agents(mThreads)
                            .service("works-app")
                            .build());
        }
    }

    /** Starts the load. */
    void start() {
        mThreads.execute(this::startPrograms);
    }

    private void startPrograms() {
        List<String> workspaces = mDeployment.workspaces();
        for (int i = 0; !mStop; i++) {
            int workspaceIndex = i % workspaces.size();
            String key = mDeployment.key(workspaces.get(workspaceIndex));
            TraceProgram program =
                    i % LONG_PROGRAM_INTERVAL == 0
                            ? createLongProgram("move-" + i, workspaces.get(workspaceIndex))
                            : createProgram("move-" + i, workspaces.get(workspaceIndex));
            mThreads.execute(
                    () -> {
                        long start = mTicker.readMillis();
                        mRunners.get(workspaceIndex).run(program, key);
                        mCompleted.add(new CompletedProgram(start, mTicker.readMillis() - start));
                    });
            Pauses.pause(mPeriodMillis);
        }
    }

    private TraceProgram createLongProgram(String name, String workspace) {
        TraceStep step = new TraceStep(new TraceStep.Chat(50, mLongWords), null, null, null);
        return new TraceProgram(
                name, workspace, "interactive", "full", BUDGET_TOKENS, List.of(step));
    }

    private TraceProgram createProgram(String name, String workspace) {
        boolean urgent = workspace.equals("beam-alerts");
        List<TraceStep> steps = new ArrayList<>();
        int turns = urgent ? 1 : 2 + mRandom.nextInt(5);
        for (int i = 0; i < turns; i++) {
            int words = 10 + mRandom.nextInt(40);
            int out = 10 + mRandom.nextInt(urgent ? 10 : 80);
            steps.add(new TraceStep(new TraceStep.Chat(words, out), null, null, null));
            if (mRandom.nextInt(2) == 0) {
                TraceStep.Call call =
                        mRandom.nextInt(2) == 0
                                ? new TraceStep.Call("/stock?item=" + i, "GET")
                                : new TraceStep.Call("/orders", "POST");
                steps.add(new TraceStep(null, call, null, null));
            }
            steps.add(new TraceStep(null, null, 20L + mRandom.nextInt(100), null));
        }
        String history = mRandom.nextInt(2) == 0 ? "full" : "append";
        String requestClass = urgent ? "urgent" : "interactive";
        return new TraceProgram(name, workspace, requestClass, history, BUDGET_TOKENS, steps);
    }

    /**
     * Stops the load and waits until the running programs have ended.
     *
     * @throws IllegalStateException if they have not ended within 90 s
     */
    void stop() throws InterruptedException {
        mStop = true;
        mThreads.shutdown();
        if (!mThreads.awaitTermination(90, TimeUnit.SECONDS)) {
            throw new IllegalStateException("programs did not end within 90 s");
        }
    }

    /** Returns the counters of all callers. */
    LoadCounters counters() {
        return mCounters;
    }

    /**
     * Returns the 95th percentile of the durations of programs that started in an interval.
     *
     * @param fromMillis start of the interval (inclusive), in milliseconds of the ticker
     * @param toMillis end of the interval (exclusive), in milliseconds of the ticker
     * @return the duration in milliseconds; 0 if no such program has ended
     */
    long p95Millis(long fromMillis, long toMillis) {
        Histogram histogram = new Histogram(3);
        for (CompletedProgram completed : mCompleted) {
            if (completed.startMillis() >= fromMillis && completed.startMillis() < toMillis) {
                histogram.recordValue(completed.durationMillis());
            }
        }
        return histogram.getValueAtPercentile(95);
    }
}
