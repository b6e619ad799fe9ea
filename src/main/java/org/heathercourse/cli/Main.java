package org.heathercourse.cli;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.heathercourse.daemon.DaemonMain;
import org.heathercourse.gateway.GatewayMain;
import org.heathercourse.log.KeepingLogManager;
import org.heathercourse.log.LogLevel;
import org.heathercourse.log.LogSetup;
import org.heathercourse.ops.ctl.Ctl;
import org.heathercourse.testing.hosted.HostedDemo;
import org.heathercourse.testing.standin.StandInMain;

/** Entry point of the command line. Stateless. */
public final class Main {
    static {
        // Set before the first logger is created, so that logging works during a graceful stop.
        System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
    }

    private static final int USAGE_EXIT_CODE = 2;

    private Main() {}

    private enum Command {
        DAEMON("run the daemon of one entry VM") {
            @Override
            void run(String[] arguments) throws Exception {
                DaemonMain.main(arguments);
            }
        },
        GATEWAY("run the gateway of one entry VM on a hosted platform") {
            @Override
            void run(String[] arguments) throws Exception {
                GatewayMain.main(arguments);
            }
        },
        CTL("operate a deployment") {
            @Override
            void run(String[] arguments) {
                System.exit(Ctl.run(arguments, System.getenv(), System.out, System.err).code());
            }
        },
        CRASHES("list or clear requests that crash the engines of a hosted platform") {
            @Override
            void run(String[] arguments) {
                LogSetup.configure(LogLevel.WARN);
                CrashesCommand command = new CrashesCommand(Clock.systemUTC(), new SecureRandom());
                System.exit(command.run(arguments, System.getenv(), System.out, System.err));
            }
        },
        HOSTED_DEMO("run gateways against stand-ins of a hosted platform") {
            @Override
            void run(String[] arguments) throws Exception {
                System.exit(HostedDemo.run(List.of(arguments), System.out) ? 0 : 1);
            }
        },
        STANDINS("run stand-ins of the outside services for tests on one machine") {
            @Override
            void run(String[] arguments) throws Exception {
                StandInMain.main(arguments);
            }
        };

        private final String mSummary;

        Command(String summary) {
            mSummary = summary;
        }

        abstract void run(String[] arguments) throws Exception;

        String commandName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Optional<Command> fromName(String name) {
            return Arrays.stream(values()).filter(c -> c.commandName().equals(name)).findFirst();
        }
    }

    /**
     * Runs a command.
     *
     * @param arguments name of the command, followed by its flags
     * @throws Exception if the command fails with an error that it does not handle
     */
    public static void main(String[] arguments) throws Exception {
        String name = arguments.length == 0 ? "--help" : arguments[0];
        if (name.equals("--help") || name.equals("help")) {
            System.out.print(help());
            return;
        }
        if (name.equals("--version") || name.equals("version")) {
            System.out.println("heathercourse " + Version.text());
            return;
        }
        Optional<Command> command = Command.fromName(name);
        if (command.isEmpty()) {
            System.err.println(
                    "error: \""
                            + name
                            + "\" is not a command, expected one of those in heathercourse --help");
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        command.get().run(Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private static String help() {
        StringBuilder out = new StringBuilder("usage: heathercourse COMMAND [flags]\n\n");
        for (Command command : Command.values()) {
            out.append(String.format("  %-12s %s%n", command.commandName(), command.mSummary));
        }
        out.append(String.format("  %-12s %s%n", "quickstart", "start a deployment on loopback"));
        out.append(
                "\nEach command explains its flags with --help. --version prints the version.\n");
        return out.toString();
    }
}
