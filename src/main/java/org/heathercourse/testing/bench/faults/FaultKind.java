package org.heathercourse.testing.bench.faults;

import java.io.IOException;
import java.util.random.RandomGenerator;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.load.Pauses;

/** Faults that are injected, each with its effect. A fault has ended when its method returns. */
enum FaultKind {
    /** Kills a daemon and starts a new process in its place. */
    KILL(5) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            DaemonProcess daemon = injector.anyDaemon(random);
            injector.killAndRestart(daemon, 500 + random.nextInt(4_000));
        }
    },
    /** Stops the execution of a daemon, often for longer than its lease, and lets it go on. */
    PAUSE(4) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) {
            DaemonProcess daemon = injector.anyDaemon(random);
            injector.pause(daemon, 500 + random.nextInt(9_000));
        }
    },
    /** The whole store is down. */
    STORE_OUTAGE(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.storeOutage(1_000 + random.nextInt(9_000));
        }
    },
    /** Writes of the store take effect and their replies are lost. */
    LOST_REPLIES(3) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.setFault("table", "lose_reply", 0, 1 + random.nextInt(20));
        }
    },
    /** The store is slow. */
    SLOW_STORE(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.setFault("table", "delay_ms", 100 + random.nextInt(900), 0);
            Pauses.pause(1_000 + random.nextInt(4_000));
            injector.clearFaults("table");
        }
    },
    /** A daemon reaches neither the store nor its peers. */
    CUT_OFF(3) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.cut(injector.anyDaemon(random), true, 1_000 + random.nextInt(8_000));
        }
    },
    /** A daemon reaches the store but no peer reaches it. */
    CUT_FROM_PEERS(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            injector.cut(injector.anyDaemon(random), false, 1_000 + random.nextInt(6_000));
        }
    },
    /** An engine closes all connections without an answer for a while. */
    ENGINE_DOWN(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String engine = "engine-" + (1 + random.nextInt(injector.engines()));
            injector.setFault(engine, "outage", 0, 0);
            Pauses.pause(500 + random.nextInt(4_000));
            injector.clearFaults(engine);
        }
    },
    /** A plain target runs requests and loses the answers. */
    TARGET_LOSES_ANSWERS(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String target = "works-" + (1 + random.nextInt(2));
            injector.setFault(target, "lose_reply", 0, 1 + random.nextInt(3));
        }
    },
    /** An engine holds requests and stops generating. */
    ENGINE_PAUSE(1) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) throws IOException {
            String engine = "engine-" + (1 + random.nextInt(injector.engines()));
            injector.setFault(engine, "pause", 500 + random.nextInt(3_000), 1);
            Pauses.pause(3_500);
            injector.clearFaults(engine);
        }
    },
    /** A daemon is stopped as planned and started again. */
    GRACEFUL_STOP(2) {
        @Override
        void inject(FaultInjector injector, RandomGenerator random) {
            injector.gracefulStop(injector.anyDaemon(random));
        }
    };

    private final int mWeight;

    FaultKind(int weight) {
        mWeight = weight;
    }

    abstract void inject(FaultInjector injector, RandomGenerator random) throws IOException;

    /** Draws a kind by weight. */
    static FaultKind draw(RandomGenerator random) {
        int sum = 0;
        for (FaultKind kind : values()) {
            sum += kind.mWeight;
        }
        int left = random.nextInt(sum);
        for (FaultKind kind : values()) {
            left -= kind.mWeight;
            if (left < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("weights do not add up");
    }
}
