package org.heathercourse.ops.ctl;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Sub-commands of the operator's command line, each with its help and its implementation. */
enum CtlCommand {
    PLAN("plan -f FILE", "check a declaration and show what applying it would change") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().plan();
        }
    },
    APPLY(
            "apply -f FILE [--revision N] [--wait]",
            "apply a declaration; with --revision only if that is the current revision") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().apply();
        }
    },
    GET("get [--revision N]", "print the accepted configuration as JSON") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().get();
        }
    },
    HISTORY("history", "list accepted revisions, the newest first") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().history();
        }
    },
    UNDO("undo REVISION [--wait]", "accept the configuration of an earlier revision again") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().undo(argument(arguments, 0, "a revision"));
        }
    },
    WATCH("watch [--revision N]", "wait until a revision is in force everywhere") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().watch(session.revision());
        }
    },
    STATUS("status", "show daemons and targets as the answering daemon sees them") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.views().status();
        }
    },
    KEYS(
            "keys add WORKSPACE | keys withdraw WORKSPACE KEY_ID | keys list WORKSPACE",
            "add, withdraw or list keys; an added key is printed once") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            String verb = argument(arguments, 0, "add, withdraw or list");
            String workspace = argument(arguments, 1, "a workspace");
            return switch (verb) {
                case "add" -> session.changes().addKey(workspace);
                case "withdraw" ->
                        session.changes()
                                .withdrawKey(workspace, argument(arguments, 2, "a key id"));
                case "list" -> session.views().keys(workspace);
                default ->
                        throw new UsageException(
                                "keys " + verb + " is not known, expected add, withdraw or list");
            };
        }
    },
    DRAIN("drain target/ID | drain vm/ID", "stop giving new work to a target or an entry VM") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes()
                    .setState(argument(arguments, 0, "target/ID or vm/ID"), "DRAINING");
        }
    },
    UNDRAIN("undrain target/ID | undrain vm/ID", "give new work to a target or an entry VM again") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes().setState(argument(arguments, 0, "target/ID or vm/ID"), "UP");
        }
    },
    RETIRE(
            "retire target/ID | retire vm/ID",
            "declare a drained target or entry VM permanently removed") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.changes()
                    .setState(argument(arguments, 0, "target/ID or vm/ID"), "RETIRED");
        }
    },
    PROGRAMS("programs list | programs cancel PROGRAM", "list or end programs") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            String verb = argument(arguments, 0, "list or cancel");
            return switch (verb) {
                case "list" -> session.views().programs();
                case "cancel" -> session.views().cancel(argument(arguments, 1, "a program"));
                default ->
                        throw new UsageException(
                                "programs " + verb + " is not known, expected list or cancel");
            };
        }
    },
    SLO(
            "slo report [--output table|json|html]",
            "show the burn rates of all objectives over all daemons, worst first") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            String verb = argument(arguments, 0, "report");
            if (!verb.equals("report")) {
                throw new UsageException("slo " + verb + " is not known, expected report");
            }
            return session.fleet().sloReport();
        }
    },
    EXPLAIN(
            "explain PROGRAM",
            "show why the last calls of a program were placed, queued or refused") {
        @Override
        ExitCode run(CtlSession session, List<String> arguments) {
            return session.fleet().explain(argument(arguments, 0, "a program"));
        }
    };

    private final String mUsage;
    private final String mSummary;

    CtlCommand(String usage, String summary) {
        mUsage = usage;
        mSummary = summary;
    }

    abstract ExitCode run(CtlSession session, List<String> arguments);

    String usage() {
        return mUsage;
    }

    String summary() {
        return mSummary;
    }

    static Optional<CtlCommand> fromName(String name) {
        for (CtlCommand command : values()) {
            if (command.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    private static String argument(List<String> arguments, int index, String expected) {
        if (arguments.size() <= index) {
            throw new UsageException("an argument is missing, expected " + expected);
        }
        return arguments.get(index);
    }
}
