package org.heathercourse.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.settings.Program;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.PlatformSettings;
import org.heathercourse.gateway.control.CrashTableEditor;
import org.heathercourse.gateway.store.DirectChannel;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowStore;

/**
 * The operator's command that lists and clears the requests that crash engines. Immutable and safe
 * for use by several threads; each run opens and closes its connection to the store.
 */
final class CrashesCommand {
    private static final String JSON = "json";
    private static final String ALL = "all";
    private static final String HELP = "help";
    // The codes of the ctl command, whose classes need libraries that a gateway's VM does not have.
    static final int OK = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int INVALID = 3;
    static final int CONFLICT = 4;
    static final int UNAVAILABLE = 5;

    private static final String SEE_HELP = "see heathercourse crashes --help";

    private final Clock mClock;
    private final RandomGenerator mRandom;

    /**
     * Creates the command.
     *
     * @param clock wall clock that decides which entries have expired
     * @param random spreads repeated writes
     */
    CrashesCommand(Clock clock, RandomGenerator random) {
        mClock = clock;
        mRandom = random;
    }

    /**
     * Runs the command.
     *
     * @param arguments list or clear with their arguments and flags
     * @param environment environment variables
     * @param out receives results
     * @param err receives errors
     * @return the exit code
     */
    int run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        OptionSet options;
        try {
            options = parser().parse(arguments);
        } catch (OptionException e) {
            err.println("error: " + e.getMessage() + "; " + SEE_HELP);
            return USAGE;
        }
        if (options.has(HELP)) {
            out.print(help());
            return OK;
        }
        if (!isValid(options)) {
            err.println("error: expected list, clear DIGEST or clear --all; " + SEE_HELP);
            return USAGE;
        }
        Either<List<SettingProblem>, Settings> settings =
                PlatformSettings.read(
                        Program.STORE_COMMAND, settingArguments(options), environment);
        if (settings.isLeft()) {
            settings.getLeft().forEach(problem -> err.println("error: " + problem.line()));
            return USAGE;
        }
        return runWith(settings.get(), options, out, err);
    }

    // Arguments

    private static List<Setting> settings() {
        return Arrays.stream(Setting.values())
                .filter(setting -> setting.belongsTo(Program.STORE_COMMAND))
                .toList();
    }

    private static OptionParser parser() {
        OptionParser parser = new OptionParser(false);
        parser.accepts(JSON, "print JSON");
        parser.accepts(ALL, "clear all requests");
        parser.accepts(HELP, "help").forHelp();
        settings().forEach(s -> parser.accepts(s.flag(), s.description()).withRequiredArg());
        return parser;
    }

    private static List<String> positionals(OptionSet options) {
        return options.nonOptionArguments().stream().map(String::valueOf).toList();
    }

    /** Returns whether the arguments name one verb, and clear either one digest or all. */
    private static boolean isValid(OptionSet options) {
        List<String> positionals = positionals(options);
        if (positionals.equals(List.of("list"))) {
            return !options.has(ALL);
        }
        return !positionals.isEmpty()
                && positionals.get(0).equals("clear")
                && positionals.size() == (options.has(ALL) ? 1 : 2)
                && !positionals.contains("");
    }

    private static String[] settingArguments(OptionSet options) {
        List<String> arguments = new ArrayList<>();
        for (Setting setting : settings()) {
            for (Object value : options.valuesOf(setting.flag())) {
                arguments.add("--" + setting.flag());
                arguments.add(String.valueOf(value));
            }
        }
        return arguments.toArray(new String[0]);
    }

    private static String help() {
        return "usage: heathercourse crashes list [--json] [flags]\n"
                + "       heathercourse crashes clear DIGEST [--json] [flags]\n"
                + "       heathercourse crashes clear --all [--json] [flags]\n\n"
                + "Lists or clears the requests during which engines ended. Gateways refuse those\n"
                + "that are quarantined; they follow a change within 2 s.\n\n"
                + Settings.help(Program.STORE_COMMAND)
                + "\nexit codes:\n"
                + "  0  done\n"
                + "  1  the row of crashes is not readable\n"
                + "  2  a flag, argument or setting is wrong, or the platform has no adapter\n"
                + "  3  no crashes are recorded under the digest\n"
                + "  4  gateways wrote first each time; run the command again\n"
                + "  5  the store did not answer\n";
    }

    // Execution

    private int runWith(Settings settings, OptionSet options, PrintStream out, PrintStream err) {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            RowStore store =
                    PlatformSettings.findPlatform(settings)
                            .rowStore(
                                    new DirectChannel(
                                            settings.endpoint(Setting.STORE_ADDRESS), loop));
            CrashTableEditor editor = new CrashTableEditor(store, loop, mClock, mRandom);
            execute(editor, options, new CrashesPrinter(out, options.has(JSON)));
            return OK;
        } catch (StoreException e) {
            err.println(
                    "error: the store at "
                            + settings.text(Setting.STORE_ADDRESS)
                            + " did not answer: "
                            + e.getMessage()
                            + "; check --store-address or HEATHERCOURSE_STORE_ADDRESS and the"
                            + " store, then run the command again, which is safe");
            return UNAVAILABLE;
        } catch (HeathercourseException e) {
            err.println("error: " + e.getMessage() + "; " + e.remedy());
            return exitCode(e.kind());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static int exitCode(ErrorKind kind) {
        return switch (kind) {
            case INVALID_SETTING -> USAGE;
            case UNKNOWN_REQUEST -> INVALID;
            case CONFLICT -> CONFLICT;
            default -> FAILED;
        };
    }

    private static void execute(
            CrashTableEditor editor, OptionSet options, CrashesPrinter printer) {
        List<String> positionals = positionals(options);
        if (positionals.get(0).equals("list")) {
            printer.printTable(await(editor.read()));
        } else if (options.has(ALL)) {
            printer.printCleared(await(editor.clearAll()));
        } else {
            String digest = positionals.get(1);
            CrashTableEditor.Cleared cleared = await(editor.clear(new RequestDigest(digest)));
            if (cleared.entries().isEmpty()) {
                throw new HeathercourseException(
                        ErrorKind.UNKNOWN_REQUEST,
                        "no crashes are recorded under digest \"" + digest + "\"",
                        "heathercourse crashes list prints the digests; an entry ends by itself"
                                + " when its request succeeds or 10 min after its last crash");
            }
            printer.printCleared(cleared);
        }
    }

    /** Waits for a result; the store's own timeouts bound the wait. */
    private static <T> T await(CompletableFuture<T> result) {
        try {
            return result.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof HeathercourseException cause) {
                throw cause;
            }
            throw e;
        }
    }
}
