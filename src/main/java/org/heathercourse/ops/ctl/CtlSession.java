package org.heathercourse.ops.ctl;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.UUID;
import joptsimple.OptionSet;
import org.heathercourse.ops.v1.Configuration;

/**
 * Connection, options and output streams of one run of the command line. Not safe for use by
 * several threads.
 */
final class CtlSession {
    private final OperatorConnection mConnection;
    private final OptionSet mOptions;
    private final PrintStream mOut;
    private final PrintStream mProgress;

    CtlSession(
            OperatorConnection connection,
            OptionSet options,
            PrintStream out,
            PrintStream progress) {
        mConnection = connection;
        mOptions = options;
        mOut = out;
        mProgress = progress;
    }

    ChangeCommands changes() {
        return new ChangeCommands(this);
    }

    ViewCommands views() {
        return new ViewCommands(this);
    }

    FleetCommands fleet() {
        return new FleetCommands(this);
    }

    OperatorConnection connection() {
        return mConnection;
    }

    PrintStream out() {
        return mOut;
    }

    PrintStream progress() {
        return mProgress;
    }

    String outputFormatName() {
        return String.valueOf(mOptions.valueOf(Ctl.OUTPUT));
    }

    Output output() {
        return switch (outputFormatName()) {
            case "json" -> Output.JSON;
            case "table" -> Output.TABLE;
            default ->
                    throw new UsageException(
                            "--output has an unknown format, expected table or json");
        };
    }

    boolean shouldWait() {
        return mOptions.has(Ctl.WAIT);
    }

    long revision() {
        return mOptions.has(Ctl.REVISION)
                ? parseWholeNumber((String) mOptions.valueOf(Ctl.REVISION))
                : 0;
    }

    boolean hasRevision() {
        return mOptions.has(Ctl.REVISION);
    }

    Configuration declaration() {
        if (!mOptions.has(Ctl.FILE)) {
            throw new UsageException("-f is not set, expected the path of a declaration");
        }
        return DeclarationReader.read(Path.of((String) mOptions.valueOf(Ctl.FILE)));
    }

    /** Returns a new identity for a change. The caller keeps it for retries of the request. */
    String newChangeId() {
        return UUID.randomUUID().toString();
    }

    static long parseWholeNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("\"" + text + "\" is not a whole number");
        }
    }
}
