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
 * Injects faults drawn from a seed: two at a time at most, and one daemon at least untouched.
 *
 * <p>A planned stop is made with no other fault under way, so that every broken request during it
 * is the stop's doing. Safe for use by several threads.
 */
final class FaultInjector {
    private static final long QUIET_MILLIS = 4_000;
    private static final long EXIT_SECONDS = 90;

    private final LocalDeployment mDeployment;
    private final int mEngines;
    private final LoadCounters mCallers;
    private final Violations mViolations;
    private final TakeoverProbe mTakeover;
    private final Ticker mTicker = Ticker.system();
    private final Set<DaemonProcess> mTouched = new HashSet<>();
    private final Object mCalm = new Object();
    private int mUnderWay;
    private boolean mMeasuring;
    final AtomicInteger mFaults = new AtomicInteger();
    final AtomicInteger mKills = new AtomicInteger();
    final AtomicInteger mPauses = new AtomicInteger();
    final AtomicInteger mStoreOutages = new AtomicInteger();
    final AtomicInteger mGracefulStops = new AtomicInteger();
    private final AtomicBoolean mStop = new AtomicBoolean();

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

    /** Injects faults one after the other until {@link #stop()}. Two threads may run this. */
    void run(RandomGenerator random, boolean gracefulStops) {
        while (!mStop.get()) {
            FaultKind kind = FaultKind.draw(random);
            if (kind == FaultKind.GRACEFUL_STOP && !gracefulStops) {
                continue;
            }
            try {
                if (kind == FaultKind.GRACEFUL_STOP) {
                    kind.inject(this, random);
                } else {
                    begin();
                    try {
                        System.err.println("fault " + kind);
                        kind.inject(this, random);
                    } finally {
                        end();
                    }
                }
                mFaults.incrementAndGet();
            } catch (IOException e) {
                System.err.println("fault " + kind + " failed: " + e.getMessage());
            }
            Pauses.pause(500 + random.nextInt(2_000));
        }
    }

    void stop() {
        mStop.set(true);
    }

    private void begin() {
        synchronized (mCalm) {
            while (mMeasuring && !mStop.get()) {
                awaitCalm();
            }
            mUnderWay++;
        }
    }

    private void awaitCalm() {
        try {
            mCalm.wait(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end() {
        synchronized (mCalm) {
            mUnderWay--;
            mCalm.notifyAll();
        }
    }

    int engines() {
        return mEngines;
    }

    /** Returns a daemon that no other fault touches; one daemon is always left alone. */
    DaemonProcess anyDaemon(RandomGenerator random) {
        synchronized (mTouched) {
            List<DaemonProcess> free = new ArrayList<>(mDeployment.daemons());
            free.removeAll(mTouched);
            DaemonProcess daemon = free.get(random.nextInt(free.size()));
            mTouched.add(daemon);
            return daemon;
        }
    }

    private void release(DaemonProcess daemon) {
        synchronized (mTouched) {
            mTouched.remove(daemon);
        }
    }

    /**
     * Kills a daemon and starts a new process in its place. If no other fault is under way, the
     * takeover is measured and no other fault begins meanwhile: an outage of the store puts off a
     * takeover by its own length.
     */
    void killAndRestart(DaemonProcess daemon, long downMillis) throws IOException {
        mKills.incrementAndGet();
        boolean alone;
        synchronized (mCalm) {
            alone = mUnderWay == 1;
            mMeasuring = alone;
        }
        if (alone) {
            clearFaults("table");
            Pauses.pause(QUIET_MILLIS);
        }
        daemon.process().kill();
        if (alone) {
            mTakeover.measure(daemon, mTicker.readMillis());
            synchronized (mCalm) {
                mMeasuring = false;
                mCalm.notifyAll();
            }
        }
        Pauses.pause(downMillis);
        daemon.start();
        Pauses.pause(2_000);
        release(daemon);
    }

    void pause(DaemonProcess daemon, long millis) {
        mPauses.incrementAndGet();
        daemon.process().pause();
        Pauses.pause(millis);
        daemon.process().resume();
        release(daemon);
    }

    void storeOutage(long millis) throws IOException {
        mStoreOutages.incrementAndGet();
        setFault("table", "outage", 0, 0);
        setFault("objects", "outage", 0, 0);
        Pauses.pause(millis);
        clearFaults("table");
        clearFaults("objects");
    }

    void cut(DaemonProcess daemon, boolean store, long millis) throws IOException {
        String vm = daemon.endpoints().vm();
        try {
            setProxy("peer-" + vm, true);
            if (store) {
                setProxy("table-" + vm, true);
                setProxy("objects-" + vm, true);
            }
            Pauses.pause(millis);
        } finally {
            setProxy("peer-" + vm, false);
            setProxy("table-" + vm, false);
            setProxy("objects-" + vm, false);
            release(daemon);
        }
    }

    void gracefulStop(DaemonProcess daemon) {
        synchronized (mCalm) {
            while (mUnderWay > 0) {
                try {
                    mCalm.wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            System.err.println("fault " + FaultKind.GRACEFUL_STOP);
            mGracefulStops.incrementAndGet();
            Pauses.pause(QUIET_MILLIS);
            long before = mCallers.get(Counter.BROKEN_REQUESTS);
            daemon.process().terminate();
            boolean ended = daemon.process().awaitExit(EXIT_SECONDS);
            long broken = mCallers.get(Counter.BROKEN_REQUESTS) - before;
            String vm = daemon.endpoints().vm();
            mViolations.add(Promise.GRACEFUL_STOP, broken, "requests broken while " + vm + " left");
            if (!ended) {
                mViolations.add(Promise.GRACEFUL_STOP, vm + " did not end within 90 s");
                daemon.process().kill();
            }
            daemon.start();
            Pauses.pause(2_000);
        }
        release(daemon);
    }

    /** Ends all faults, so that the deployment can become whole again. */
    void healAll() throws IOException {
        mDeployment.stats().clearFaults();
        for (DaemonProcess daemon : mDeployment.daemons()) {
            String vm = daemon.endpoints().vm();
            setProxy("peer-" + vm, false);
            setProxy("table-" + vm, false);
            setProxy("objects-" + vm, false);
            if (!daemon.process().isAlive()) {
                mViolations.add(Promise.WHOLE_ANSWERS, vm + " ended by itself");
                daemon.start();
            }
        }
    }

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

    private void setProxy(String name, boolean cut) throws IOException {
        mDeployment.stats().post("/proxies/" + name, "{\"cut\":" + cut + "}");
    }
}
