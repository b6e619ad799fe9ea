package org.heathercourse.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.ownership.LeaseRules;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;

/** Provides the random source and the identity of the daemon. */
@Module
public final class CoreModule {
    private CoreModule() {}

    @Provides
    @Singleton
    static RandomGenerator random() {
        return new SecureRandom();
    }

    /**
     * Uses the start time as the incarnation, so that it exceeds those of earlier processes on the
     * VM.
     */
    @Provides
    @Singleton
    static DaemonInfo self(Settings settings, Clock clock) {
        return new DaemonInfo(
                settings.vm(),
                clock.millis(),
                settings.zone(),
                settings.text(Setting.HOST),
                settings.portOr(Setting.ADVERTISED_CALLER_PORT, Setting.CALLER_PORT),
                settings.portOr(Setting.ADVERTISED_PEER_PORT, Setting.PEER_PORT),
                settings.port(Setting.OPERATOR_PORT),
                0,
                LeaseRules.HEARTBEAT_MILLIS,
                false);
    }
}
