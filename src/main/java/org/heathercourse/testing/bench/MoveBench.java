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
 * Moves one target and one entry VM of the warping works out by a date, under steady load, from the
 * declarations in {@code examples/move} and with the operators' command line.
 *
 * <p>What was cut off, run twice or dispatched late is judged by what callers and targets saw.
 */
public final class MoveBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TARGET = "planner-1";
    private static final String VM = "vm-4";
    private static final int DAEMONS = 4;
    private static final long DEADLINE_SECONDS = 120;
    private static final long STEP_MILLIS = 60_000;
    private static final long LATE_MILLIS = 5_000;
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
                parser.accepts("period-ms", "time between the starts of two programs")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(100);
        var longWords =
                parser.accepts("long-words", "words of the long answers")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(8_000);
        var before =
                parser.accepts("before-seconds", "load before the move")
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
                                d -> declaration(d, directory, "01-warping.yaml", deadline))
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

    // ---- the move ----

    private void run(ObjectNode out, MoveLoad load, long beforeMillis) throws Exception {
        Path file = Files.createTempFile("leaving", ".yaml");
        try {
            Files.writeString(file, text(mDeployment, mDeclarations, "02-leaving.yaml", mDeadline));
            load.start();
            System.err.println("load before the move ms=" + beforeMillis);
            // Programs of the first third run on cold code and do not count.
            Pauses.pause(beforeMillis / 3);
            long start = mTicker.readMillis();
            Pauses.pause(2 * beforeMillis / 3);
            long move = mTicker.readMillis();
            ctl("apply", "-f", file.toString(), "--wait");
            long drainedAtMillis = retireTarget();
            boolean vmGone = retireVm();
            boolean deadlineMet = !mClock.instant().isAfter(mDeadline);
            long end = mTicker.readMillis();
            load.stop();
            long revision = present().getRevision();
            ctl("apply", "-f", file.toString(), "--wait");
            out.put("retired", retired(vmGone));
            addTargetsView(out, load.counters(), drainedAtMillis);
            out.put("deadline_met", deadlineMet);
            double before = load.p95Millis(start, move);
            out.put(
                    "program_p95_ratio_during_move",
                    Math.round(1000 * load.p95Millis(move, end) / before) / 1000.0);
            out.put("changed_by_second_apply", present().getRevision() - revision);
            out.put("program_p95_before_ms", (long) before);
            out.put("move_ms", end - move);
            load.counters().all().forEach(out::put);
        } finally {
            Files.delete(file);
        }
    }

    /** Returns the stand-ins' time at which the draining of the target had been accepted. */
    private long retireTarget() throws IOException {
        ctl("drain", "target/" + TARGET);
        long accepted =
                mDeployment.stats().read("/arrivals?since=1000000000").path("now_ms").asLong();
        await("no daemon runs a call on " + TARGET, () -> running() == 0);
        ctl("retire", "target/" + TARGET, "--wait");
        return accepted;
    }

    private boolean retireVm() {
        ctl("drain", "vm/" + VM);
        DaemonProcess daemon =
                mDeployment.daemons().stream()
                        .filter(d -> d.endpoints().vm().equals(VM))
                        .findFirst()
                        .orElseThrow();
        await("the daemon of " + VM + " has ended", () -> !daemon.process().isAlive());
        ctl("retire", "vm/" + VM, "--wait");
        return !daemon.process().isAlive();
    }

    private long running() {
        long running = 0;
        for (DaemonProcess daemon : mDeployment.daemons()) {
            try (OperatorConnection operator = mDeployment.operatorAt(daemon)) {
                running +=
                        operator
                                .call(s -> s.getStatus(GetStatusRequest.getDefaultInstance()))
                                .getTargetsList()
                                .stream()
                                .filter(t -> t.getTarget().equals(TARGET))
                                .mapToLong(MoveBench::runningAt)
                                .sum();
            }
        }
        return running;
    }

    /** Counts a daemon that does not know of the draining yet as running a call. */
    private static long runningAt(TargetStatus target) {
        return target.getState() == StateDeclaration.UP ? 1 : target.getRunningHere();
    }

    private void ctl(String... words) {
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
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        ExitCode code = Ctl.run(words, environment, stream, stream);
        System.err.println("ctl " + words[0] + " " + words[1] + " exit=" + code);
        if (code != ExitCode.OK) {
            throw new IllegalStateException("ctl " + Arrays.toString(words) + ": " + output);
        }
    }

    private void await(String what, BooleanSupplier condition) {
        long end = mTicker.readMillis() + STEP_MILLIS;
        while (!condition.getAsBoolean()) {
            if (mTicker.readMillis() >= end) {
                throw new IllegalStateException("waited " + STEP_MILLIS + " ms until " + what);
            }
            Pauses.pause(100);
        }
        System.err.println(what);
    }

    // ---- judging ----

    private int retired(boolean vmGone) {
        Configuration configuration = present().getConfiguration();
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
        return (target ? 1 : 0) + (vm && vmGone ? 1 : 0);
    }

    private void addTargetsView(ObjectNode out, LoadCounters counters, long drainedAtMillis)
            throws IOException {
        JsonNode stats = mDeployment.stats().read("/stats");
        long late = 0;
        long all = 0;
        for (JsonNode arrival : mDeployment.stats().read("/arrivals?since=0").path("arrivals")) {
            if (arrival.path("target").asText().equals(TARGET)
                    && arrival.path("path").asText().equals("/v1/chat/completions")) {
                all++;
                late += arrival.path("at_ms").asLong() > drainedAtMillis + LATE_MILLIS ? 1 : 0;
            }
        }
        out.put(
                "cut_off",
                counters.get(Counter.BROKEN_REQUESTS)
                        + counters.get(Counter.TRUNCATED_ANSWERS)
                        + counters.get(Counter.FAILED_PROGRAMS));
        out.put("run_twice", stats.path("duplicate_side_effects").asLong());
        out.put("late_dispatches", late);
        out.put("arrivals_at_leaving_target", all);
        out.put("out_of_order", stats.path("out_of_order").asLong());
        out.put("lost_history", stats.path("lost_history").asLong());
    }

    private GetConfigurationResponse present() {
        return mDeployment
                .operator()
                .call(s -> s.getConfiguration(GetConfigurationRequest.getDefaultInstance()));
    }

    // ---- declarations ----

    private static Configuration declaration(
            LocalDeployment deployment, Path directory, String file, Instant deadline) {
        return DeclarationReader.parse(file, text(deployment, directory, file, deadline));
    }

    private static String text(
            LocalDeployment deployment, Path directory, String file, Instant deadline) {
        try {
            String text = Files.readString(directory.resolve(file));
            for (Map.Entry<String, Integer> port : deployment.targetPorts().entrySet()) {
                text = text.replace("${" + port.getKey() + "}", port.getValue().toString());
            }
            return text.replace("${retire_by}", deadline.toString());
        } catch (IOException e) {
            throw new IllegalStateException("the declaration cannot be read", e);
        }
    }
}
