package org.heathercourse.daemon.wiring;

import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import javax.inject.Named;
import javax.inject.Singleton;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigWatcher;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ProgramLog;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.daemon.state.StateEngine;
import org.heathercourse.daemon.state.StateExecutors;
import org.heathercourse.daemon.state.StateSettings;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.TableStore;

/** Provides shard ownership and durable program state. */
@Module
public final class StateModule {
    private StateModule() {}

    @Provides
    @Singleton
    static StateExecutors executors() {
        return StateExecutors.create();
    }

    /** Shard ownership, membership and rate shares are maintained on this single thread. */
    @Provides
    @Singleton
    @Named("control")
    static ScheduledExecutorService control(StateExecutors executors) {
        return executors.control();
    }

    @Provides
    @Singleton
    static StateEngine engine(
            DaemonInfo self,
            TableStore table,
            ObjectStore objects,
            Ticker ticker,
            RandomGenerator random,
            StateExecutors executors,
            Lazy<ConfigWatcher> watcher,
            Lazy<PeerNetwork> peers) {
        return StateEngine.builder(StateSettings.of(self, StateSettings.DEFAULT_SHARDS))
                .store(table, objects)
                .ticker(ticker)
                .random(random)
                .executors(executors)
                .outageDetector(() -> watcher.get().isStoreDownForMajority())
                .peers(peers::get)
                .build();
    }

    @Provides
    static ShardDirectory directory(StateEngine engine) {
        return engine;
    }

    @Provides
    static ProgramLog log(StateEngine engine) {
        return engine;
    }
}
