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
 * Runs the steps of a state engine at their times. Without executors nothing runs by itself. Safe
 * for use by several threads.
 */
final class StateTimers {
    private static final EventLog LOG = EventLog.of(StateTimers.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** First and longest pause after a failed flush, in milliseconds. */
    private static final long FLUSH_RETRY_MILLIS = 50;

    private static final long FLUSH_RETRY_MAX_MILLIS = 2_000;

    /** First and longest pause after a failed heartbeat; the lease of 4 s allows several tries. */
    private static final long HEARTBEAT_RETRY_MILLIS = 100;

    private static final long HEARTBEAT_RETRY_MAX_MILLIS = 1_000;

    /** Pause before a scan on request, so that many requests make one scan. */
    private static final long SCAN_SOON_MILLIS = 20;

    /** Failures beyond which a pause grows no more. */
    private static final int MAX_DOUBLINGS = 10;

    /** The steps and the figures that their times depend on. */
    interface Loops {
        Heartbeat.Step heartbeat();

        boolean scan();

        CommitLoop.Step flush();

        boolean hasWork();

        int owners();

        int lastObjects();

        int daemons();

        boolean ownsOrMayOwn();
    }

    private final StateExecutors mExecutors;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Loops mLoops;
    private final AtomicBoolean mFlushQueued = new AtomicBoolean();
    private final AtomicBoolean mScanQueued = new AtomicBoolean();

    /** Tells the present chain of heartbeats from those that it replaced. */
    private final AtomicLong mHeartbeatChain = new AtomicLong();

    private final Queue<Runnable> mWaiting = new ConcurrentLinkedQueue<>();
    private final Object mControlLock = new Object();
    private final Object mHeartbeatLock = new Object();
    private final Object mFlushLock = new Object();
    private volatile boolean mRunning;
    private volatile long mLastFlushNanos;
    private int mFlushFailures;
    private volatile int mHeartbeatFailures;

    StateTimers(StateExecutors executors, Ticker ticker, RandomGenerator random, Loops loops) {
        mExecutors = executors;
        mTicker = ticker;
        mRandom = random;
        mLoops = loops;
    }

    void start() {
        if (mExecutors == null) {
            throw new IllegalStateException("executors are missing, expected them on the builder");
        }
        mRunning = true;
        heartbeatSoon();
        // Daemons that start together should see each other before the first takes all shards.
        schedule(mExecutors.control(), this::runScan, LeaseRules.SCAN_MILLIS * NANOS_PER_MILLI);
    }

    void stop() {
        mRunning = false;
    }

    /** Makes a heartbeat now; the next one follows a period later. */
    void heartbeatSoon() {
        scheduleHeartbeat(mHeartbeatChain.incrementAndGet(), 0);
    }

    private void scheduleHeartbeat(long chain, long delayNanos) {
        if (mRunning) {
            schedule(mExecutors.heartbeat(), () -> runHeartbeat(chain), delayNanos);
        }
    }

    void scanSoon() {
        if (mRunning && mScanQueued.compareAndSet(false, true)) {
            Runnable scan =
                    () -> {
                        mScanQueued.set(false);
                        scanOnce();
                    };
            schedule(mExecutors.control(), scan, SCAN_SOON_MILLIS * NANOS_PER_MILLI);
        }
    }

    /** Flushes at the next time that the pacing allows; at once if the last one is long ago. */
    void flushSoon() {
        if (!mRunning || !mLoops.hasWork() || !mFlushQueued.compareAndSet(false, true)) {
            return;
        }
        long interval = FlushPacing.intervalNanos(mLoops.owners(), mLoops.lastObjects());
        long passed = mTicker.readNanos() - mLastFlushNanos;
        schedule(mExecutors.flush(), this::runFlush, Math.max(0, interval - passed));
    }

    /** Runs a task on the control thread, or now without executors. */
    void onControl(Runnable task) {
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

    /** Runs a task while no heartbeat is under way. */
    void withoutHeartbeat(Runnable task) {
        synchronized (mHeartbeatLock) {
            task.run();
        }
    }

    void background(Runnable task) {
        if (!mRunning) {
            mWaiting.add(task);
            return;
        }
        try {
            mExecutors.background().execute(() -> guarded("background", task));
        } catch (RejectedExecutionException e) {
            LOG.debug("task_rejected", "cause", e.getMessage());
        }
    }

    /** Runs the dependents of futures; they may block, so no loop waits for them. */
    void complete(Runnable completions) {
        if (!mRunning) {
            completions.run();
            return;
        }
        try {
            mExecutors.storeCalls().execute(() -> guarded("completion", completions));
        } catch (RejectedExecutionException e) {
            LOG.debug("completion_rejected", "cause", e.getMessage());
            completions.run();
        }
    }

    void runWaiting() {
        Runnable task = mWaiting.poll();
        while (task != null) {
            task.run();
            task = mWaiting.poll();
        }
    }

    long heartbeatMillis() {
        return LeaseRules.heartbeatPeriodMillis(mLoops.daemons(), mLoops.ownsOrMayOwn());
    }

    private void runHeartbeat(long chain) {
        if (chain != mHeartbeatChain.get()) {
            return;
        }
        Heartbeat.Step step = heartbeatOnce();
        if (step == Heartbeat.Step.WRITTEN) {
            mHeartbeatFailures = 0;
            scheduleHeartbeat(chain, heartbeatMillis() * NANOS_PER_MILLI);
        } else if (step == Heartbeat.Step.RETRY) {
            int failures = mHeartbeatFailures;
            mHeartbeatFailures = Math.min(failures + 1, MAX_DOUBLINGS);
            scheduleHeartbeat(
                    chain,
                    backoffNanos(HEARTBEAT_RETRY_MILLIS, HEARTBEAT_RETRY_MAX_MILLIS, failures));
        }
    }

    private Heartbeat.Step heartbeatOnce() {
        synchronized (mHeartbeatLock) {
            try {
                return mLoops.heartbeat();
            } catch (RuntimeException e) {
                LOG.error("heartbeat_defect", e);
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
            guarded("scan", mLoops::scan);
        }
    }

    private void runFlush() {
        CommitLoop.Step step;
        synchronized (mFlushLock) {
            mLastFlushNanos = mTicker.readNanos();
            try {
                step = mLoops.flush();
            } catch (RuntimeException e) {
                LOG.error("flush_defect", e);
                step = CommitLoop.Step.RETRY;
            }
        }
        if (step == CommitLoop.Step.RETRY) {
            long pause = backoffNanos(FLUSH_RETRY_MILLIS, FLUSH_RETRY_MAX_MILLIS, mFlushFailures++);
            schedule(mExecutors.flush(), this::runFlush, pause);
            return;
        }
        mFlushFailures = 0;
        mFlushQueued.set(false);
        flushSoon();
    }

    /** Returns a pause that doubles with each failure, of which half is random. */
    private long backoffNanos(long firstMillis, long maxMillis, int failures) {
        long millis = Math.min(maxMillis, firstMillis << Math.min(failures, MAX_DOUBLINGS));
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

    private static void guarded(String loop, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("loop_defect", e, "loop", loop);
        }
    }
}
