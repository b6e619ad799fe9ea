package org.heathercourse.daemon.wiring;

import dagger.BindsInstance;
import dagger.Component;
import java.time.Clock;
import javax.inject.Singleton;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.Daemon;
import org.heathercourse.daemon.settings.Settings;

/** All parts of one daemon. */
@Singleton
@Component(
        modules = {
            CoreModule.class,
            PlatformModule.class,
            StateModule.class,
            ConfigModule.class,
            TrafficModule.class,
            HttpModule.class,
            OperatorModule.class
        })
public interface DaemonComponent {
    /** Returns the daemon. */
    Daemon daemon();

    /** Creates the parts. */
    @Component.Factory
    interface Factory {
        /**
         * Creates the parts of a daemon; nothing is started.
         *
         * @param settings checked settings
         * @param ticker time source for durations
         * @param clock wall clock
         */
        DaemonComponent create(
                @BindsInstance Settings settings,
                @BindsInstance Ticker ticker,
                @BindsInstance Clock clock);
    }
}
