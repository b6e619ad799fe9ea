package org.heathercourse.testing.bench;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.testing.bench.faults.FaultsMain;

/** Entry point of {@code bin/bench faults}. */
public final class FaultsBench {
    private FaultsBench() {}

    /**
     * Runs the bench.
     *
     * @param arguments flags; see {@code --help}
     * @throws Exception if the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("seed", "seed of programs and faults").withRequiredArg().defaultsTo("1");
        parser.accepts("seconds", "duration of the fault injection in seconds")
                .withRequiredArg()
                .defaultsTo("60");
        parser.accepts("daemons", "number of daemons").withRequiredArg().defaultsTo("4");
        parser.accepts("json", "print the result as JSON (always done)");
        parser.acceptsAll(List.of("help", "h")).forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        long violations =
                FaultsMain.run(
                        Long.parseLong((String) options.valueOf("seed")),
                        Long.parseLong((String) options.valueOf("seconds")),
                        Integer.parseInt((String) options.valueOf("daemons")));
        System.exit(violations == 0 ? 0 : 1);
    }
}
