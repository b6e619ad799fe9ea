package org.heathercourse.daemon.wiring;

import dagger.BindsInstance;
import dagger.Component;
import java.time.Clock;
import javax.inject.Singleton;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.Daemon;
import org.heathercourse.daemon.settings.Settings;

/** The dependency graph of one daemon. */
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

    /** Creates the dependency graph. */
    @Component.Factory
    interface Factory {
        /**
         * Creates the dependency graph of a daemon without starting it.
         *
         * @param settings validated settings
         * @param ticker time source for durations
         * @param clock wall clock
         */
        DaemonComponent create(
                @BindsInstance Settings settings,
                @BindsInstance Ticker ticker,
                @BindsInstance Clock clock);
    }
}
