package org.heathercourse.gateway;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Program;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.log.EventLog;
import org.heathercourse.log.LogSetup;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Entry point of the gateway process. */
public final class GatewayMain {
    private static final EventLog LOG = EventLog.of(GatewayMain.class);
    private static final int BAD_SETTING_EXIT_CODE = 2;

    private GatewayMain() {}

    /**
     * Runs a gateway until SIGTERM or SIGINT.
     *
     * @param arguments flags; see {@link Setting}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length > 0 && arguments[0].equals("--help")) {
            System.out.print(
                    "usage: heathercourse gateway [flags]\n\n" + Settings.help(Program.GATEWAY));
            return;
        }
        Either<List<SettingProblem>, Settings> settings = readSettings(arguments);
        if (settings.isLeft()) {
            settings.getLeft().forEach(p -> System.err.println("error: " + p.line()));
            System.exit(BAD_SETTING_EXIT_CODE);
            return;
        }
        LogSetup.configureQueued(settings.get().logLevel());
        ExhaustedMemory.install();
        run(settings.get(), arguments);
    }

    // Settings

    private static Either<List<SettingProblem>, Settings> readSettings(String[] arguments) {
        return PlatformSettings.read(Program.GATEWAY, arguments, System.getenv())
                .flatMap(GatewayMain::checkHeap);
    }

    private static Either<List<SettingProblem>, Settings> checkHeap(Settings settings) {
        return HeapCheck.check(settings, Runtime.getRuntime().maxMemory())
                .<Either<List<SettingProblem>, Settings>>map(
                        problem -> Either.left(List.of(problem)))
                .orElseGet(() -> Either.right(settings));
    }

    /** Reads the settings again; if one of them is invalid, none changes. */
    private static void reloadSettings(Gateway gateway, String[] arguments) {
        Either<List<SettingProblem>, Settings> settings = readSettings(arguments);
        if (settings.isLeft()) {
            settings.getLeft().forEach(p -> LOG.warn("settings_not_reloaded", "problem", p.line()));
        } else {
            LogSetup.setLevel(settings.get().logLevel());
            gateway.reload(settings.get());
            LOG.info("settings_reloaded");
        }
    }

    // Life cycle

    private static void run(Settings settings, String[] arguments) throws InterruptedException {
        Ticker ticker = Ticker.system();
        CompletableFuture<Long> stopMillis = new CompletableFuture<>();
        SignalHandler onStop = signal -> stopMillis.complete(ticker.readMillis());
        // Before the gateway exists the signal is only remembered; without a handler it would end
        // the process.
        AtomicBoolean changedEarly = new AtomicBoolean();
        Signal.handle(new Signal("HUP"), signal -> changedEarly.set(true));
        Signal.handle(new Signal("TERM"), onStop);
        Signal.handle(new Signal("INT"), onStop);
        try {
            Gateway gateway =
                    new Gateway(
                            settings,
                            PlatformSettings.findPlatform(settings),
                            ticker,
                            Clock.systemUTC(),
                            new SecureRandom());
            Signal.handle(new Signal("HUP"), signal -> reloadSettings(gateway, arguments));
            if (changedEarly.get()) {
                reloadSettings(gateway, arguments);
            }
            gateway.start();
            long signalMillis = stopMillis.join();
            // The grace period may have changed without a signal.
            reloadSettings(gateway, arguments);
            new GatewayDrain(gateway, ticker).run(signalMillis);
            System.exit(0);
        } catch (HeathercourseException e) {
            System.err.println("error: " + e.getMessage() + "; " + e.remedy());
            System.exit(BAD_SETTING_EXIT_CODE);
        }
    }
}
