package org.heathercourse.ops.ctl;

import io.grpc.StatusRuntimeException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import javax.net.ssl.SSLException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.core.error.HeathercourseException;

/** Entry point of the operator's command line. Stateless. */
public final class Ctl {
    static final String FILE = "f";
    static final String REVISION = "revision";
    static final String WAIT = "wait";
    static final String OUTPUT = "output";

    private static final String ADDRESS = "address";
    private static final String TOKEN = "token";
    private static final String CA = "ca";
    private static final String HELP = "help";
    private static final String ADDRESS_VARIABLE = "HEATHERCOURSE_OPERATOR_ADDRESS";
    private static final String TOKEN_VARIABLE = "HEATHERCOURSE_OPERATOR_TOKEN";
    private static final String DEFAULT_ADDRESS = "127.0.0.1:8082";

    private Ctl() {}

    /**
     * Runs one command.
     *
     * @param arguments the command with its arguments and flags
     * @param environment environment variables
     * @param out receives results
     * @param err receives progress and errors
     * @return the exit code
     */
    public static ExitCode run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        OptionSet options;
        try {
            options = parser().parse(arguments);
        } catch (OptionException e) {
            err.println("error: " + e.getMessage() + "; see heathercourse ctl --help");
            return ExitCode.USAGE;
        }
        List<String> positionals =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (options.has(HELP) || positionals.isEmpty()) {
            out.print(positionals.isEmpty() ? help() : help(positionals.get(0)));
            return options.has(HELP) ? ExitCode.OK : ExitCode.USAGE;
        }
        try {
            CtlCommand command =
                    CtlCommand.fromName(positionals.get(0))
                            .orElseThrow(
                                    () ->
                                            new UsageException(
                                                    "\""
                                                            + positionals.get(0)
                                                            + "\" is not a command"));
            try (OperatorConnection connection = connect(options, environment)) {
                CtlSession session = new CtlSession(connection, options, out, err);
                return command.run(session, positionals.subList(1, positionals.size()));
            }
        } catch (UsageException e) {
            err.println("error: " + e.getMessage() + "; " + e.remedy());
            return ExitCode.USAGE;
        } catch (HeathercourseException e) {
            err.println("error: " + e.getMessage() + "; " + e.remedy());
            return ExitCode.INVALID;
        } catch (StatusRuntimeException e) {
            String description = e.getStatus().getDescription();
            err.println(
                    "error: "
                            + e.getStatus().getCode()
                            + ": "
                            + (description == null ? "no daemon answered" : description));
            return ExitCode.of(e.getStatus());
        } catch (SSLException e) {
            err.println(
                    "error: the file of --ca cannot be read, expected PEM certificates: "
                            + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static OperatorConnection connect(OptionSet options, Map<String, String> environment)
            throws SSLException {
        String addresses = value(options, ADDRESS, environment.get(ADDRESS_VARIABLE));
        String token = value(options, TOKEN, environment.get(TOKEN_VARIABLE));
        if (token == null) {
            throw new UsageException("no credential: set " + TOKEN_VARIABLE + " or --token");
        }
        String effective = addresses == null ? DEFAULT_ADDRESS : addresses;
        return new OperatorConnection(
                Arrays.asList(effective.split(",")), token, String.valueOf(value(options, CA, "")));
    }

    private static String value(OptionSet options, String name, String fallback) {
        return options.has(name) ? (String) options.valueOf(name) : fallback;
    }

    private static OptionParser parser() {
        OptionParser parser = new OptionParser();
        parser.accepts(FILE, "declaration in YAML").withRequiredArg();
        parser.accepts(REVISION, "a revision").withRequiredArg();
        parser.accepts(WAIT, "wait until the change is in force everywhere");
        parser.accepts(OUTPUT, "table, json or (slo report) html")
                .withRequiredArg()
                .defaultsTo("table");
        parser.accepts(ADDRESS, "operator addresses").withRequiredArg();
        parser.accepts(TOKEN, "operator credential").withRequiredArg();
        parser.accepts(CA, "trusted certificates (PEM)").withRequiredArg();
        parser.accepts(HELP, "help").forHelp();
        return parser;
    }

    private static String help() {
        StringBuilder out = new StringBuilder("usage: heathercourse ctl COMMAND [flags]\n\n");
        for (CtlCommand command : CtlCommand.values()) {
            out.append("  ").append(command.usage()).append("\n      ");
            out.append(command.summary()).append('\n');
        }
        out.append("\nflags:\n");
        out.append(
                "  --address HOST:PORT[,HOST:PORT]  operator addresses of daemons, tried in turn");
        out.append("\n      (or ").append(ADDRESS_VARIABLE).append("; default ");
        out.append(DEFAULT_ADDRESS).append(")\n");
        out.append("  --token TOKEN    operator credential (or ").append(TOKEN_VARIABLE);
        out.append(")\n  --ca FILE        trusted certificates (PEM); enables TLS\n");
        out.append("  --output FORM    table (default), json, or html for slo report\n");
        out.append("\nexit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            out.append("  ").append(code.code()).append("  ").append(code.meaning()).append('\n');
        }
        return out.toString();
    }

    private static String help(String name) {
        return CtlCommand.fromName(name)
                .map(c -> "usage: heathercourse ctl " + c.usage() + "\n\n" + c.summary() + "\n")
                .orElse(help());
    }
}
