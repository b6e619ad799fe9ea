package org.heathercourse.testing.bench.faults;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.LoadCounters;
import org.heathercourse.testing.load.LoadCounters.Counter;
import org.heathercourse.testing.load.Pauses;

/**
 * Injects random faults from a seed, at most one at a time for each thread that calls {@link #run}.
 * With fewer threads than daemons, at least one daemon is not affected by a fault.
 *
 * <p>The injection of a graceful stop does not overlap with that of other faults, so that requests
 * broken during the stop are attributed to it. Safe for use by several threads.
 */
final class FaultInjector {
    private static final long SETTLE_MILLIS = 4_000;
    private static final long EXIT_TIMEOUT_SECONDS = 90;

    private final LocalDeployment mDeployment;
    private final int mEngines;
    private final LoadCounters mCallers;
    private final Violations mViolations;
    private final TakeoverProbe mTakeover;
    private final Ticker mTicker = Ticker.system();
    private final Set<DaemonProcess> mFaultyDaemons = new HashSet<>();
    private final Object mLock = new Object();
    private int mActiveFaults;
    private boolean mMeasuringTakeover;
    final AtomicInteger mFaultCount = new AtomicInteger();
    final AtomicInteger mKillCount = new AtomicInteger();
    final AtomicInteger mPauseCount = new AtomicInteger();
    final AtomicInteger mStoreOutageCount = new AtomicInteger();
    final AtomicInteger mGracefulStopCount = new AtomicInteger();
    private final AtomicBoolean mStopped = new AtomicBoolean();

    FaultInjector(
            LocalDeployment deployment,
            int engines,
            LoadCounters callers,
            Violations violations,
            TakeoverProbe takeover) {
        mDeployment = deployment;
        mEngines = engines;
        mCallers = callers;
        mViolations = violations;
        mTakeover = takeover;
    }

    /**
     * Injects faults one after the other until {@link #stop()}. May run on several threads if there
     * are more daemons than threads.
     *
     * @param random source of random numbers, used by this thread alone
     * @param gracefulStops whether to inject graceful stops
     */
    void run(RandomGenerator random, boolean gracefulStops) {
        while (!mStopped.get()) {
            FaultKind kind = FaultKind.draw(random);
            if (kind == FaultKind.GRACEFUL_STOP && !gracefulStops) {
                continue;
            }
            try {
                if (kind == FaultKind.GRACEFUL_STOP) {
                    kind.inject(this, random);
                } else {
                    beginFault();
                    try {
                        System.err.println("injecting fault kind=" + kind);
                        kind.inject(this, random);
                    } finally {
                        endFault();
                    }
                }
                mFaultCount.incrementAndGet();
            } catch (IOException e) {
                System.err.println(
                        "fault injection failed kind=" + kind + " cause=" + e.getMessage());
            }
            Pauses.pause(500 + random.nextInt(2_000));
        }
    }

    void stop() {
        mStopped.set(true);
    }

    private void beginFault() {
        synchronized (mLock) {
            while (mMeasuringTakeover && !mStopped.get()) {
                awaitTakeoverMeasured();
            }
            mActiveFaults++;
        }
    }

    private void awaitTakeoverMeasured() {
        try {
            mLock.wait(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endFault() {
        synchronized (mLock) {
            mActiveFaults--;
            mLock.notifyAll();
        }
    }

    int engines() {
        return mEngines;
    }

    /**
     * Reserves a random daemon that no other fault affects; to be released at the end of the fault.
     */
    DaemonProcess acquireDaemon(RandomGenerator random) {
        synchronized (mFaultyDaemons) {
            List<DaemonProcess> available = new ArrayList<>(mDeployment.daemons());
            available.removeAll(mFaultyDaemons);
            DaemonProcess daemon = available.get(random.nextInt(available.size()));
            mFaultyDaemons.add(daemon);
            return daemon;
        }
    }

    private void releaseDaemon(DaemonProcess daemon) {
        synchronized (mFaultyDaemons) {
            mFaultyDaemons.remove(daemon);
        }
    }

    /**
     * Kills a daemon and starts a new process in its place. If no other fault is active, the
     * takeover is measured and no other fault begins until that is done, because an outage of the
     * store delays a takeover by its own duration.
     *
     * @param daemon the daemon, reserved by the caller
     * @param downMillis time in milliseconds until the restart
     */
    void killAndRestart(DaemonProcess daemon, long downMillis) throws IOException {
        mKillCount.incrementAndGet();
        boolean onlyFault;
        synchronized (mLock) {
            onlyFault = mActiveFaults == 1;
            mMeasuringTakeover = onlyFault;
        }
        if (onlyFault) {
            clearFaults("table");
            Pauses.pause(SETTLE_MILLIS);
        }
        daemon.process().kill();
        if (onlyFault) {
            mTakeover.measure(daemon, mTicker.readMillis());
            synchronized (mLock) {
                mMeasuringTakeover = false;
                mLock.notifyAll();
            }
        }
        Pauses.pause(downMillis);
        daemon.start();
        Pauses.pause(2_000);
        releaseDaemon(daemon);
    }

    void pause(DaemonProcess daemon, long millis) {
        mPauseCount.incrementAndGet();
        daemon.process().pause();
        Pauses.pause(millis);
        daemon.process().resume();
        releaseDaemon(daemon);
    }

    void storeOutage(long millis) throws IOException {
        mStoreOutageCount.incrementAndGet();
        setFault("table", "outage", 0, 0);
        setFault("objects", "outage", 0, 0);
        Pauses.pause(millis);
        clearFaults("table");
        clearFaults("objects");
    }

    /**
     * Partitions a daemon from its peers, and optionally from the store, for a time.
     *
     * @param daemon the daemon, reserved by the caller
     * @param fromStore whether to partition it also from the store
     * @param millis duration in milliseconds
     */
    void partition(DaemonProcess daemon, boolean fromStore, long millis) throws IOException {
        String vm = daemon.endpoints().vm();
        try {
            setPartitioned("peer-" + vm, true);
            if (fromStore) {
                setPartitioned("table-" + vm, true);
                setPartitioned("objects-" + vm, true);
            }
            Pauses.pause(millis);
        } finally {
            setPartitioned("peer-" + vm, false);
            setPartitioned("table-" + vm, false);
            setPartitioned("objects-" + vm, false);
            releaseDaemon(daemon);
        }
    }

    /**
     * Stops a daemon gracefully while no other fault is being injected, counts broken requests and
     * restarts it.
     */
    void gracefulStop(DaemonProcess daemon) {
        synchronized (mLock) {
            while (mActiveFaults > 0) {
                try {
                    mLock.wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            System.err.println("injecting fault kind=" + FaultKind.GRACEFUL_STOP);
            mGracefulStopCount.incrementAndGet();
            Pauses.pause(SETTLE_MILLIS);
            long brokenBefore = mCallers.get(Counter.BROKEN_REQUESTS);
            daemon.process().terminate();
            boolean exited = daemon.process().awaitExit(EXIT_TIMEOUT_SECONDS);
            long brokenRequests = mCallers.get(Counter.BROKEN_REQUESTS) - brokenBefore;
            String vm = daemon.endpoints().vm();
            mViolations.add(
                    Guarantee.GRACEFUL_STOP,
                    brokenRequests,
                    "requests broken during the graceful stop of " + vm);
            if (!exited) {
                mViolations.add(Guarantee.GRACEFUL_STOP, vm + " did not exit within 90 s");
                daemon.process().kill();
            }
            daemon.start();
            Pauses.pause(2_000);
        }
        releaseDaemon(daemon);
    }

    /** Clears all faults and restarts daemons that have exited, so that the deployment recovers. */
    void clearAllFaults() throws IOException {
        mDeployment.stats().clearFaults();
        for (DaemonProcess daemon : mDeployment.daemons()) {
            String vm = daemon.endpoints().vm();
            setPartitioned("peer-" + vm, false);
            setPartitioned("table-" + vm, false);
            setPartitioned("objects-" + vm, false);
            if (!daemon.process().isAlive()) {
                mViolations.add(Guarantee.WHOLE_ANSWERS, vm + " exited unexpectedly");
                daemon.start();
            }
        }
    }

    /**
     * Sets a fault of a stand-in.
     *
     * @param part name of the stand-in: a store or a target
     * @param fault name of the fault
     * @param value value of the fault in its own unit, such as milliseconds
     * @param count number of requests that it affects; 0 for all until it is cleared
     */
    void setFault(String part, String fault, double value, long count) throws IOException {
        mDeployment
                .stats()
                .post(
                        "/faults",
                        String.format(
                                Locale.ROOT,
                                "{\"part\":\"%s\",\"fault\":\"%s\",\"value\":%f,\"count\":%d}",
                                part,
                                fault,
                                value,
                                count));
    }

    void clearFaults(String part) throws IOException {
        mDeployment.stats().clearFaults(part);
    }

    private void setPartitioned(String proxy, boolean partitioned) throws IOException {
        mDeployment.stats().post("/proxies/" + proxy, "{\"cut\":" + partitioned + "}");
    }
}
