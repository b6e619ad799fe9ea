package org.heathercourse.daemon.wiring;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import javax.inject.Named;
import javax.inject.Singleton;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.daemon.call.CallExecutor;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.http.AdminServer;
import org.heathercourse.daemon.http.CallObserver;
import org.heathercourse.daemon.http.HttpSettings;
import org.heathercourse.daemon.operate.CallMetrics;
import org.heathercourse.daemon.operate.TimedTableStore;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.daemon.state.ProgramLog;
import org.heathercourse.daemon.state.ShardDirectory;

/** Provides the servers of the caller port and the admin port, and the metrics. */
@Module
public final class HttpModule {
    // Kept short because a planned shutdown waits this long for callers that still use the address.
    private static final int ADDRESS_KEEP_SECONDS = 10;

    private HttpModule() {}

    @Provides
    @Singleton
    static HttpSettings http(Settings settings) {
        return HttpSettings.builder()
                .host(settings.text(Setting.HOST))
                .port(settings.port(Setting.CALLER_PORT))
                .tls(settings.text(Setting.TLS_CERTIFICATE), settings.text(Setting.TLS_KEY))
                .keepSeconds(ADDRESS_KEEP_SECONDS)
                .bodyLimitBytes((int) settings.number(Setting.MAX_BODY_BYTES))
                .build();
    }

    /** The daemon is ready when a configuration is in force and fresh. */
    @Provides
    @Named("ready")
    static BooleanSupplier ready(ConfigSource config) {
        return () -> config.current().revision() > 0 && config.isFresh();
    }

    @Provides
    @Singleton
    static MetricRegistry metrics(
            ConfigSource config,
            ProgramLog log,
            ShardDirectory shards,
            CallExecutor calls,
            TimedTableStore table) {
        MetricRegistry metrics = new MetricRegistry();
        registerGauge(metrics, "config.revision", () -> config.current().revision());
        registerGauge(metrics, "config.fresh", () -> config.isFresh() ? 1L : 0L);
        registerGauge(metrics, "store.down", () -> log.storeDown() ? 1L : 0L);
        registerGauge(metrics, "store.pending_bytes", log::pendingBytes);
        registerGauge(metrics, "programs.held", () -> (long) log.activePrograms().size());
        registerGauge(metrics, "daemons.listed", () -> (long) shards.daemons().size());
        Runtime runtime = Runtime.getRuntime();
        registerGauge(
                metrics, "jvm.heap_used_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
        metrics.register("store.commit", table.commitTimer());
        metrics.register("store.commit_failures", table.commitFailures());
        registerGauge(metrics, "shards.owned", () -> ownedShardCount(config, shards));
        registerGauge(metrics, "calls.active", () -> (long) calls.activeCallCount());
        registerGauge(metrics, "calls.retries", calls::retryCount);
        registerGauge(metrics, "breakers.open", () -> (long) calls.openBreakerCount());
        return metrics;
    }

    private static long ownedShardCount(ConfigSource config, ShardDirectory shards) {
        return IntStream.range(0, config.current().shards())
                .filter(i -> shards.fence(new ShardId(i)).isPresent())
                .count();
    }

    @Provides
    static CallObserver observer(CallMetrics metrics) {
        return metrics;
    }

    private static void registerGauge(MetricRegistry metrics, String name, Gauge<Long> value) {
        metrics.registerGauge(name, value);
    }

    @Provides
    @Singleton
    static AdminServer admin(
            Settings settings, MetricRegistry metrics, @Named("ready") BooleanSupplier ready) {
        return new AdminServer(
                settings.text(Setting.HOST), settings.port(Setting.ADMIN_PORT), metrics, ready);
    }
}
