package org.heathercourse.testing.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.Ctl;
import org.heathercourse.ops.ctl.DeclarationReader;
import org.heathercourse.ops.ctl.ExitCode;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.ops.v1.StateDeclaration;
import org.heathercourse.ops.v1.TargetStatus;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.LoadCounters;
import org.heathercourse.testing.load.LoadCounters.Counter;
import org.heathercourse.testing.load.Pauses;

/**
 * Retires one target and one VM of the warping works by a deadline under steady load, with the
 * declarations in {@code examples/move} and the operators' command line.
 *
 * <p>Requests that were cut off, run twice or dispatched late are counted from the records of
 * callers and targets.
 */
public final class MoveBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TARGET = "planner-1";
    private static final String VM = "vm-4";
    private static final int DAEMONS = 4;
    private static final long DEADLINE_SECONDS = 120;
    private static final long STEP_TIMEOUT_MILLIS = 60_000;
    private static final long MAX_DISPATCH_DELAY_MILLIS = 5_000;
    private static final List<String> WORKSPACES =
            List.of(
                    "warp-planning",
                    "beam-orders",
                    "beam-alerts",
                    "yarn-purchase",
                    "invoicing",
                    "dye-house",
                    "loom-care",
                    "front-desk");

    private final LocalDeployment mDeployment;
    private final Path mDeclarations;
    private final Instant mDeadline;
    private final Clock mClock;
    private final Ticker mTicker = Ticker.system();

    private MoveBench(
            LocalDeployment deployment, Path declarations, Instant deadline, Clock clock) {
        mDeployment = deployment;
        mDeclarations = declarations;
        mDeadline = deadline;
        mClock = clock;
    }

    /**
     * Runs the bench.
     *
     * @param arguments flags; see {@code --help}
     * @throws Exception if the deployment cannot be started or a step fails
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        var seed = parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        var declarations =
                parser.accepts("declarations", "directory of the declarations")
                        .withRequiredArg()
                        .defaultsTo("examples/move");
        var period =
                parser.accepts(
                                "period-ms",
                                "time between the starts of two programs in milliseconds")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(100);
        var longWords =
                parser.accepts("long-words", "words of each long answer")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(8_000);
        var before =
                parser.accepts("before-seconds", "duration of the load before the move in seconds")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(15);
        parser.accepts("json", "print the result as JSON (always done)");
        parser.accepts("help").forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        System.err.println("seed=" + options.valueOf(seed));
        Path directory = Path.of(options.valueOf(declarations));
        Clock clock = Clock.systemUTC();
        Instant deadline = clock.instant().plusSeconds(DEADLINE_SECONDS);
        try (LocalDeployment deployment =
                LocalDeployment.builder()
                        .daemons(DAEMONS)
                        .engines(6)
                        .plain(3)
                        .zones(List.of("valmiera-a", "valmiera-b", "cesis"))
                        .workspaces(WORKSPACES)
                        .configuration(
                                "planner-",
                                d -> parseDeclaration(d, directory, "01-warping.yaml", deadline))
                        .build()
                        .start()) {
            MoveBench bench = new MoveBench(deployment, directory, deadline, clock);
            MoveLoad load =
                    new MoveLoad(
                            deployment,
                            options.valueOf(seed),
                            options.valueOf(period),
                            options.valueOf(longWords));
            ObjectNode out = MAPPER.createObjectNode().put("seed", options.valueOf(seed));
            bench.run(out, load, options.valueOf(before) * 1_000L);
            System.out.println(MAPPER.writeValueAsString(out));
        }
        System.exit(0);
    }

    // Move

    private void run(ObjectNode out, MoveLoad load, long beforeMillis) throws Exception {
        Path file = Files.createTempFile("leaving", ".yaml");
        try {
            Files.writeString(
                    file,
                    readDeclaration(mDeployment, mDeclarations, "02-leaving.yaml", mDeadline));
            load.start();
            System.err.println("load before the move ms=" + beforeMillis);
            // Programs of the first third run before the JIT compiler has optimised the code; not
            // counted.
            Pauses.pause(beforeMillis / 3);
            long start = mTicker.readMillis();
            Pauses.pause(2 * beforeMillis / 3);
            long moveStart = mTicker.readMillis();
            runCtl("apply", "-f", file.toString(), "--wait");
            long drainedAtMillis = retireTarget();
            boolean vmExited = retireVm();
            boolean deadlineMet = !mClock.instant().isAfter(mDeadline);
            long end = mTicker.readMillis();
            load.stop();
            long revision = readConfiguration().getRevision();
            runCtl("apply", "-f", file.toString(), "--wait");
            out.put("retired", countRetired(vmExited));
            addTargetFigures(out, load.counters(), drainedAtMillis);
            out.put("deadline_met", deadlineMet);
            double p95Before = load.p95Millis(start, moveStart);
            out.put(
                    "program_p95_ratio_during_move",
                    Math.round(1000 * load.p95Millis(moveStart, end) / p95Before) / 1000.0);
            out.put("changed_by_second_apply", readConfiguration().getRevision() - revision);
            out.put("program_p95_before_ms", (long) p95Before);
            out.put("move_ms", end - moveStart);
            load.counters().all().forEach(out::put);
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Retires the target; returns the stand-ins' clock time in milliseconds when its draining was
     * accepted.
     */
    private long retireTarget() throws IOException {
        runCtl("drain", "target/" + TARGET);
        long accepted =
                mDeployment.stats().read("/arrivals?since=1000000000").path("now_ms").asLong();
        await("no daemon runs a call on " + TARGET, () -> countRunningCalls() == 0);
        runCtl("retire", "target/" + TARGET, "--wait");
        return accepted;
    }

    /** Retires the VM; returns whether its daemon has exited. */
    private boolean retireVm() {
        runCtl("drain", "vm/" + VM);
        DaemonProcess daemon =
                mDeployment.daemons().stream()
                        .filter(d -> d.endpoints().vm().equals(VM))
                        .findFirst()
                        .orElseThrow();
        await("the daemon of " + VM + " has exited", () -> !daemon.process().isAlive());
        runCtl("retire", "vm/" + VM, "--wait");
        return !daemon.process().isAlive();
    }

    private long countRunningCalls() {
        long runningCalls = 0;
        for (DaemonProcess daemon : mDeployment.daemons()) {
            try (OperatorConnection operator = mDeployment.operatorAt(daemon)) {
                runningCalls +=
                        operator
                                .call(s -> s.getStatus(GetStatusRequest.getDefaultInstance()))
                                .getTargetsList()
                                .stream()
                                .filter(t -> t.getTarget().equals(TARGET))
                                .mapToLong(MoveBench::countRunningAt)
                                .sum();
            }
        }
        return runningCalls;
    }

    /** Counts a daemon at which the draining is not in force yet as running a call. */
    private static long countRunningAt(TargetStatus target) {
        return target.getState() == StateDeclaration.UP ? 1 : target.getRunningHere();
    }

    private void runCtl(String... arguments) {
        String addresses =
                mDeployment.daemons().stream()
                        .map(d -> "127.0.0.1:" + d.endpoints().operatorPort())
                        .collect(Collectors.joining(","));
        Map<String, String> environment =
                Map.of(
                        "HEATHERCOURSE_OPERATOR_ADDRESS",
                        addresses,
                        "HEATHERCOURSE_OPERATOR_TOKEN",
                        mDeployment.operatorToken());
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(captured, true, StandardCharsets.UTF_8);
        ExitCode code = Ctl.run(arguments, environment, stream, stream);
        System.err.println("ctl " + arguments[0] + " " + arguments[1] + " exit=" + code);
        if (code != ExitCode.OK) {
            throw new IllegalStateException("ctl " + Arrays.toString(arguments) + ": " + captured);
        }
    }

    private void await(String expected, BooleanSupplier condition) {
        long end = mTicker.readMillis() + STEP_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (mTicker.readMillis() >= end) {
                throw new IllegalStateException(
                        "timeout after " + STEP_TIMEOUT_MILLIS + " ms, expected: " + expected);
            }
            Pauses.pause(100);
        }
        System.err.println(expected);
    }

    // Results

    private int countRetired(boolean vmExited) {
        Configuration configuration = readConfiguration().getConfiguration();
        boolean target =
                configuration.getTargetsList().stream()
                        .anyMatch(
                                t ->
                                        t.getTarget().equals(TARGET)
                                                && t.getState() == StateDeclaration.RETIRED);
        boolean vm =
                configuration.getVmsList().stream()
                        .anyMatch(
                                v ->
                                        v.getVm().equals(VM)
                                                && v.getState() == StateDeclaration.RETIRED);
        return (target ? 1 : 0) + (vm && vmExited ? 1 : 0);
    }

    private void addTargetFigures(ObjectNode out, LoadCounters counters, long drainedAtMillis)
            throws IOException {
        JsonNode stats = mDeployment.stats().read("/stats");
        long late = 0;
        long arrivals = 0;
        for (JsonNode arrival : mDeployment.stats().read("/arrivals?since=0").path("arrivals")) {
            if (arrival.path("target").asText().equals(TARGET)
                    && arrival.path("path").asText().equals("/v1/chat/completions")) {
                arrivals++;
                late +=
                        arrival.path("at_ms").asLong() > drainedAtMillis + MAX_DISPATCH_DELAY_MILLIS
                                ? 1
                                : 0;
            }
        }
        out.put(
                "cut_off",
                counters.get(Counter.BROKEN_REQUESTS)
                        + counters.get(Counter.TRUNCATED_ANSWERS)
                        + counters.get(Counter.FAILED_PROGRAMS));
        out.put("run_twice", stats.path("duplicate_side_effects").asLong());
        out.put("late_dispatches", late);
        out.put("arrivals_at_leaving_target", arrivals);
        out.put("out_of_order", stats.path("out_of_order").asLong());
        out.put("lost_history", stats.path("lost_history").asLong());
    }

    private GetConfigurationResponse readConfiguration() {
        return mDeployment
                .operator()
                .call(s -> s.getConfiguration(GetConfigurationRequest.getDefaultInstance()));
    }

    // Declarations

    private static Configuration parseDeclaration(
            LocalDeployment deployment, Path directory, String file, Instant deadline) {
        return DeclarationReader.parse(
                file, readDeclaration(deployment, directory, file, deadline));
    }

    private static String readDeclaration(
            LocalDeployment deployment, Path directory, String file, Instant deadline) {
        try {
            String text = Files.readString(directory.resolve(file));
            for (Map.Entry<String, Integer> port : deployment.targetPorts().entrySet()) {
                text = text.replace("${" + port.getKey() + "}", port.getValue().toString());
            }
            return text.replace("${retire_by}", deadline.toString());
        } catch (IOException e) {
            throw new IllegalStateException("cannot read a declaration file", e);
        }
    }
}
