package org.heathercourse.daemon.state;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.heathercourse.core.ownership.FlushPacing;
import org.heathercourse.core.ownership.LeaseRules;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * Scheduler of the loops of a state engine. Without executors nothing is scheduled, and background
 * tasks are queued until {@link #runQueuedTasks}. Thread-safe.
 */
final class StateTimers {
    private static final EventLog LOG = EventLog.of(StateTimers.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** First and longest backoff after a failed flush, in milliseconds. */
    private static final long FLUSH_BACKOFF_MIN_MILLIS = 50;

    private static final long FLUSH_BACKOFF_MAX_MILLIS = 2_000;

    /**
     * First and longest backoff after a failed heartbeat; the lease of 4 s allows several attempts.
     */
    private static final long HEARTBEAT_BACKOFF_MIN_MILLIS = 100;

    private static final long HEARTBEAT_BACKOFF_MAX_MILLIS = 1_000;

    /** Delay of a requested scan, so that several requests are merged into one scan. */
    private static final long REQUESTED_SCAN_DELAY_MILLIS = 20;

    /** Number of failures after which the backoff stays constant. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /** The steps of the loops and the values on which their schedule depends. */
    interface Steps {
        Heartbeat.Step heartbeat();

        boolean scan();

        CommitLoop.Step flush();

        boolean hasWork();

        int ownerCount();

        int lastObjectCount();

        int daemonCount();

        boolean ownsOrMayOwnShards();
    }

    private final StateExecutors mExecutors;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Steps mSteps;
    private final AtomicBoolean mFlushQueued = new AtomicBoolean();
    private final AtomicBoolean mScanQueued = new AtomicBoolean();

    /** Identifies the current chain of heartbeats; runs of earlier chains are ignored. */
    private final AtomicLong mHeartbeatGeneration = new AtomicLong();

    private final Queue<Runnable> mQueuedTasks = new ConcurrentLinkedQueue<>();
    private final Object mControlLock = new Object();
    private final Object mHeartbeatLock = new Object();
    private final Object mFlushLock = new Object();
    private volatile boolean mRunning;
    private volatile long mLastFlushNanos;
    private int mFlushFailures;
    private volatile int mHeartbeatFailures;

    StateTimers(StateExecutors executors, Ticker ticker, RandomGenerator random, Steps steps) {
        mExecutors = executors;
        mTicker = ticker;
        mRandom = random;
        mSteps = steps;
    }

    void start() {
        if (mExecutors == null) {
            throw new IllegalStateException("executors are missing, expected them on the builder");
        }
        mRunning = true;
        startHeartbeats();
        // Daemons that start together should see each other before one takes over all shards.
        schedule(mExecutors.control(), this::runScan, LeaseRules.SCAN_MILLIS * NANOS_PER_MILLI);
    }

    void stop() {
        mRunning = false;
    }

    /** Runs a heartbeat immediately and continues with the regular period. */
    void startHeartbeats() {
        scheduleHeartbeat(mHeartbeatGeneration.incrementAndGet(), 0);
    }

    private void scheduleHeartbeat(long generation, long delayNanos) {
        if (mRunning) {
            schedule(mExecutors.heartbeat(), () -> runHeartbeat(generation), delayNanos);
        }
    }

    void requestScan() {
        if (mRunning && mScanQueued.compareAndSet(false, true)) {
            Runnable scan =
                    () -> {
                        mScanQueued.set(false);
                        scanOnce();
                    };
            schedule(mExecutors.control(), scan, REQUESTED_SCAN_DELAY_MILLIS * NANOS_PER_MILLI);
        }
    }

    /** Schedules a flush as soon as the pacing allows it. */
    void requestFlush() {
        if (!mRunning || !mSteps.hasWork() || !mFlushQueued.compareAndSet(false, true)) {
            return;
        }
        long intervalNanos =
                FlushPacing.intervalNanos(mSteps.ownerCount(), mSteps.lastObjectCount());
        long elapsedNanos = mTicker.readNanos() - mLastFlushNanos;
        schedule(mExecutors.flush(), this::runFlush, Math.max(0, intervalNanos - elapsedNanos));
    }

    /** Runs a task on the control thread, or on the calling thread if the timers do not run. */
    void runOnControlThread(Runnable task) {
        if (mRunning) {
            Runnable locked =
                    () -> {
                        synchronized (mControlLock) {
                            task.run();
                        }
                    };
            schedule(mExecutors.control(), locked, 0);
        } else {
            task.run();
        }
    }

    /** Runs a task while no heartbeat is in progress. */
    void runBetweenHeartbeats(Runnable task) {
        synchronized (mHeartbeatLock) {
            task.run();
        }
    }

    void runInBackground(Runnable task) {
        if (!mRunning) {
            mQueuedTasks.add(task);
            return;
        }
        try {
            mExecutors.background().execute(() -> runLoggingErrors("background", task));
        } catch (RejectedExecutionException e) {
            LOG.debug("task_rejected", "cause", e.getMessage());
        }
    }

    /** Completes futures apart from the loops, since their dependent actions may block. */
    void runCompletions(Runnable completions) {
        if (!mRunning) {
            completions.run();
            return;
        }
        try {
            mExecutors.storeCalls().execute(() -> runLoggingErrors("completion", completions));
        } catch (RejectedExecutionException e) {
            LOG.debug("completion_rejected", "cause", e.getMessage());
            completions.run();
        }
    }

    void runQueuedTasks() {
        Runnable task = mQueuedTasks.poll();
        while (task != null) {
            task.run();
            task = mQueuedTasks.poll();
        }
    }

    long heartbeatPeriodMillis() {
        return LeaseRules.heartbeatPeriodMillis(mSteps.daemonCount(), mSteps.ownsOrMayOwnShards());
    }

    private void runHeartbeat(long generation) {
        if (generation != mHeartbeatGeneration.get()) {
            return;
        }
        Heartbeat.Step step = heartbeatOnce();
        if (step == Heartbeat.Step.WRITTEN) {
            mHeartbeatFailures = 0;
            scheduleHeartbeat(generation, heartbeatPeriodMillis() * NANOS_PER_MILLI);
        } else if (step == Heartbeat.Step.RETRY) {
            int failures = mHeartbeatFailures;
            mHeartbeatFailures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
            scheduleHeartbeat(
                    generation,
                    backoffNanos(
                            HEARTBEAT_BACKOFF_MIN_MILLIS, HEARTBEAT_BACKOFF_MAX_MILLIS, failures));
        }
    }

    private Heartbeat.Step heartbeatOnce() {
        synchronized (mHeartbeatLock) {
            try {
                return mSteps.heartbeat();
            } catch (RuntimeException e) {
                LOG.error("heartbeat_step_failed", e);
                return Heartbeat.Step.RETRY;
            }
        }
    }

    private void runScan() {
        scanOnce();
        schedule(mExecutors.control(), this::runScan, LeaseRules.SCAN_MILLIS * NANOS_PER_MILLI);
    }

    private void scanOnce() {
        synchronized (mControlLock) {
            runLoggingErrors("scan", mSteps::scan);
        }
    }

    private void runFlush() {
        CommitLoop.Step step;
        synchronized (mFlushLock) {
            mLastFlushNanos = mTicker.readNanos();
            try {
                step = mSteps.flush();
            } catch (RuntimeException e) {
                LOG.error("flush_step_failed", e);
                step = CommitLoop.Step.RETRY;
            }
        }
        if (step == CommitLoop.Step.RETRY) {
            long delayNanos =
                    backoffNanos(
                            FLUSH_BACKOFF_MIN_MILLIS, FLUSH_BACKOFF_MAX_MILLIS, mFlushFailures++);
            schedule(mExecutors.flush(), this::runFlush, delayNanos);
            return;
        }
        mFlushFailures = 0;
        mFlushQueued.set(false);
        requestFlush();
    }

    /** Returns an exponential backoff of which half is random. */
    private long backoffNanos(long minMillis, long maxMillis, int failures) {
        long millis = Math.min(maxMillis, minMillis << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
        return (long) (millis * NANOS_PER_MILLI * (0.5 + 0.5 * mRandom.nextDouble()));
    }

    private void schedule(ScheduledExecutorService executor, Runnable task, long delayNanos) {
        if (!mRunning) {
            return;
        }
        Runnable whileRunning =
                () -> {
                    if (mRunning) {
                        task.run();
                    }
                };
        try {
            executor.schedule(whileRunning, delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("timer_rejected", "cause", e.getMessage());
        }
    }

    private static void runLoggingErrors(String loop, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("loop_step_failed", e, "loop", loop);
        }
    }
}
