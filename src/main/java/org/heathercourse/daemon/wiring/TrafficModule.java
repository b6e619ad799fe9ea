package org.heathercourse.daemon.wiring;

import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.heathercourse.core.placement.Scheduler;
import org.heathercourse.core.placement.SchedulerSettings;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallSettings;
import org.heathercourse.daemon.call.TargetSelector;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.peer.PeerSettings;
import org.heathercourse.daemon.schedule.SchedulerSelector;
import org.heathercourse.daemon.schedule.TargetTelemetry;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.daemon.state.StateEngine;
import org.heathercourse.platform.EngineClient;

/** Provides the peer network, the scheduler and the settings of calls. */
@Module
public final class TrafficModule {
    private static final int PEER_THREADS = 2;

    private TrafficModule() {}

    @Provides
    @Singleton
    static NettyPeerNetwork network(
            Settings settings, Lazy<StateEngine> engine, Ticker ticker, RandomGenerator random) {
        PeerSettings peer =
                new PeerSettings(
                        settings.text(Setting.HOST),
                        settings.port(Setting.PEER_PORT),
                        settings.text(Setting.PEER_SECRET).getBytes(StandardCharsets.UTF_8),
                        PEER_THREADS);
        return new NettyPeerNetwork(peer, () -> engine.get().self(), ticker, random);
    }

    @Provides
    static PeerNetwork peers(NettyPeerNetwork network) {
        return network;
    }

    @Provides
    static CallSettings calls(Settings settings) {
        long idleSeconds = settings.number(Setting.IDLE_PROGRAM_SECONDS);
        return CallSettings.DEFAULT.withProgramIdleTimeoutMillis(
                TimeUnit.SECONDS.toMillis(idleSeconds));
    }

    @Provides
    @Singleton
    static Scheduler scheduler(Settings settings, RandomGenerator random) {
        return new Scheduler(settings.zone(), SchedulerSettings.DEFAULT, random);
    }

    @Provides
    @Singleton
    static SchedulerSelector schedulerSelector(
            Scheduler scheduler, ConfigSource config, Ticker ticker, Clock clock) {
        return new SchedulerSelector(scheduler, config, ticker, clock);
    }

    @Provides
    static TargetSelector selector(SchedulerSelector selector) {
        return selector;
    }

    @Provides
    @Singleton
    static TargetTelemetry telemetry(
            Scheduler scheduler,
            SchedulerSelector selector,
            EngineClient engine,
            ConfigSource config,
            ShardDirectory shards,
            Ticker ticker) {
        return new TargetTelemetry(scheduler, selector, engine, config, shards, ticker);
    }
}
