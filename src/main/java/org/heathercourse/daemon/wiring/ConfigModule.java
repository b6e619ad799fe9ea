package org.heathercourse.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import javax.inject.Named;
import javax.inject.Singleton;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.Authenticator;
import org.heathercourse.daemon.config.ConfigChanges;
import org.heathercourse.daemon.config.ConfigCodec;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.config.ConfigTable;
import org.heathercourse.daemon.config.ConfigWatcher;
import org.heathercourse.daemon.config.KeyAuthenticator;
import org.heathercourse.daemon.config.KeyGenerator;
import org.heathercourse.daemon.limits.FleetRateLimiter;
import org.heathercourse.daemon.limits.GrantorService;
import org.heathercourse.daemon.limits.RateLimiter;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.TableStore;

/**
 * Provides the configuration services, key authentication and the rate limit across all daemons.
 */
@Module
public final class ConfigModule {
    private ConfigModule() {}

    @Provides
    @Singleton
    static ConfigTable rows(TableStore table, ObjectStore objects) {
        return new ConfigTable(table, objects, new ConfigCodec());
    }

    @Provides
    @Singleton
    static ConfigWatcher watcher(
            ConfigTable rows,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            RandomGenerator random,
            @Named("control") ScheduledExecutorService control) {
        ScheduledExecutorService poll =
                Executors.newSingleThreadScheduledExecutor(DaemonThreads.factory("config-poll"));
        return new ConfigWatcher(
                new ConfigWatcher.Parts(
                        rows, new ConfigCodec(), shards, network, ticker, random, poll, control));
    }

    @Provides
    static ConfigSource source(ConfigWatcher watcher) {
        return watcher;
    }

    @Provides
    @Singleton
    static ConfigChanges changes(TableStore table, ConfigTable rows, ConfigWatcher watcher) {
        return new ConfigChanges(table, rows, watcher);
    }

    @Provides
    @Singleton
    static Authenticator authenticator(ConfigSource config) {
        return new KeyAuthenticator(config);
    }

    @Provides
    @Singleton
    static KeyGenerator keyGenerator(RandomGenerator random) {
        return new KeyGenerator(random);
    }

    @Provides
    @Singleton
    static FleetRateLimiter limiter(
            ConfigSource config,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            @Named("control") ScheduledExecutorService control) {
        return new FleetRateLimiter(config, shards, network, ticker, control);
    }

    @Provides
    static RateLimiter rateLimiter(FleetRateLimiter limiter) {
        return limiter;
    }

    @Provides
    @Singleton
    static GrantorService grantor(
            ConfigSource config,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            @Named("control") ScheduledExecutorService control) {
        return new GrantorService(config, shards, network, ticker, control);
    }
}
