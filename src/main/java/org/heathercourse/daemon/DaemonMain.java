package org.heathercourse.daemon;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Program;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.daemon.wiring.DaemonComponent;
import org.heathercourse.daemon.wiring.DaggerDaemonComponent;
import org.heathercourse.log.EventLog;
import org.heathercourse.log.LogSetup;

/** Entry point of the daemon process. */
public final class DaemonMain {
    private static final EventLog LOG = EventLog.of(DaemonMain.class);
    private static final int BAD_SETTING_EXIT_CODE = 2;

    private DaemonMain() {}

    /**
     * Runs a daemon until the process is stopped or the VM is leaving.
     *
     * @param arguments command-line flags; see {@link org.heathercourse.daemon.settings.Setting}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length > 0 && arguments[0].equals("--help")) {
            System.out.print(
                    "usage: heathercourse daemon [flags]\n\n" + Settings.help(Program.DAEMON));
            return;
        }
        Either<List<SettingProblem>, Settings> settings =
                Settings.parse(arguments, System.getenv());
        if (settings.isLeft()) {
            settings.getLeft().forEach(p -> System.err.println("error: " + p.line()));
            System.exit(BAD_SETTING_EXIT_CODE);
            return;
        }
        LogSetup.configure(settings.get().logLevel());
        DaemonComponent component =
                DaggerDaemonComponent.factory()
                        .create(settings.get(), Ticker.system(), Clock.systemUTC());
        run(component.daemon());
    }

    private static void run(Daemon daemon) throws InterruptedException {
        CountDownLatch leave = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    leave.countDown();
                                    awaitOrInterrupt(stopped);
                                },
                                "shutdown"));
        try {
            daemon.start(leave::countDown);
        } catch (HeathercourseException e) {
            System.err.println("error: " + e.getMessage() + "; " + e.remedy());
            stopped.countDown();
            System.exit(BAD_SETTING_EXIT_CODE);
        }
        leave.await();
        daemon.drainAndStop();
        LOG.info("daemon_stopped");
        stopped.countDown();
        System.exit(0);
    }

    private static void awaitOrInterrupt(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
