package org.heathercourse.testing.bench.faults;

import java.io.IOException;
import java.util.random.RandomGenerator;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.load.Pauses;

/**
 * Kinds of injected faults with their relative frequency. A fault has ended when {@link #inject}
 * returns, except lost replies, which end after the given number of replies.
 */
enum FaultKind {
    /** Kills a daemon and starts a new process in its place. */
    KILL(5) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            DaemonProcess daemon = injector.acquireDaemon(random);
            injector.killAndRestart(daemon, 500 + random.nextInt(4_000));
        }
    },
    /** Suspends the process of a daemon, often for longer than its lease, and resumes it. */
    PAUSE(4) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) {
            DaemonProcess daemon = injector.acquireDaemon(random);
            injector.pause(daemon, 500 + random.nextInt(9_000));
        }
    },
    /** Both the table service and the object store are unavailable. */
    STORE_OUTAGE(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.storeOutage(1_000 + random.nextInt(9_000));
        }
    },
    /** Writes to the table service take effect, but their replies are lost. */
    LOST_REPLIES(3) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.setFault("table", "lose_reply", 0, 1 + random.nextInt(20));
        }
    },
    /** The table service is slow. */
    SLOW_STORE(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.setFault("table", "delay_ms", 100 + random.nextInt(900), 0);
            Pauses.pause(1_000 + random.nextInt(4_000));
            injector.clearFaults("table");
        }
    },
    /** A daemon is partitioned from the store and from its peers. */
    CUT_OFF(3) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.partition(injector.acquireDaemon(random), true, 1_000 + random.nextInt(8_000));
        }
    },
    /** A daemon reaches the store, but its peers cannot reach it. */
    CUT_FROM_PEERS(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.partition(
                    injector.acquireDaemon(random), false, 1_000 + random.nextInt(6_000));
        }
    },
    /** An engine closes all connections without an answer for some time. */
    ENGINE_DOWN(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String engine = "engine-" + (1 + random.nextInt(injector.engines()));
            injector.setFault(engine, "outage", 0, 0);
            Pauses.pause(500 + random.nextInt(4_000));
            injector.clearFaults(engine);
        }
    },
    /** A plain target runs requests, but its answers are lost. */
    TARGET_LOSES_ANSWERS(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String target = "works-" + (1 + random.nextInt(2));
            injector.setFault(target, "lose_reply", 0, 1 + random.nextInt(3));
        }
    },
    /** An engine holds requests and stops generating for some time. */
    ENGINE_PAUSE(1) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String engine = "engine-" + (1 + random.nextInt(injector.engines()));
            injector.setFault(engine, "pause", 500 + random.nextInt(3_000), 1);
            Pauses.pause(3_500);
            injector.clearFaults(engine);
        }
    },
    /** A daemon is stopped gracefully and restarted. */
    GRACEFUL_STOP(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) {
            injector.gracefulStop(injector.acquireDaemon(random));
        }
    };

    private final int mWeight;

    FaultKind(int weight) {
        mWeight = weight;
    }

    /** Injects the fault and blocks until it has ended, except for lost replies. */
    abstract void inject(FaultInjector injector, RandomGenerator random) throws IOException;

    /** Draws a kind with a probability proportional to its weight. */
    static FaultKind draw(RandomGenerator random) {
        int sum = 0;
        for (FaultKind kind : values()) {
            sum += kind.mWeight;
        }
        int remaining = random.nextInt(sum);
        for (FaultKind kind : values()) {
            remaining -= kind.mWeight;
            if (remaining < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("drawn number exceeds the sum of the weights");
    }
}
