package org.heathercourse.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigChanges;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.config.KeyGenerator;
import org.heathercourse.daemon.operate.DaemonObservations;
import org.heathercourse.daemon.operate.PeerRevisionProbe;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.ops.OperatorServer;
import org.heathercourse.ops.OperatorService;

/** Provides the server of the operator port. */
@Module
public final class OperatorModule {
    private static final int WATCH_THREADS = 2;
    private static final int CALL_THREADS = 8;

    private OperatorModule() {}

    @Provides
    @Singleton
    static OperatorService service(
            ConfigSource config,
            ConfigChanges changes,
            PeerRevisionProbe probe,
            DaemonObservations observations,
            KeyGenerator keyGenerator,
            Ticker ticker) {
        ScheduledExecutorService watches =
                Executors.newScheduledThreadPool(WATCH_THREADS, DaemonThreads.factory("watch"));
        return new OperatorService(
                config, changes, probe, observations, keyGenerator, ticker, watches);
    }

    @Provides
    @Singleton
    static OperatorServer server(Settings settings, OperatorService service) {
        return new OperatorServer(
                new InetSocketAddress(
                        settings.text(Setting.HOST), settings.port(Setting.OPERATOR_PORT)),
                settings.text(Setting.OPERATOR_TOKEN),
                settings.text(Setting.TLS_CERTIFICATE),
                settings.text(Setting.TLS_KEY),
                Executors.newFixedThreadPool(CALL_THREADS, DaemonThreads.factory("operator")),
                service);
    }
}
