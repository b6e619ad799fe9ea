package org.heathercourse.testing.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.LoadCounters;
import org.heathercourse.testing.load.Pauses;
import org.heathercourse.testing.load.ProgramRunner;
import org.heathercourse.testing.load.TraceProgram;
import org.heathercourse.testing.load.TraceStep;

/**
 * Measures the overhead of a deployment without traffic and with light traffic: processor time,
 * bytes to peers and stores, heap, reads and writes of the table, and the time until a
 * configuration change is in force everywhere.
 *
 * <p>Figures are per daemon, except those of the table, which are for the whole deployment.
 */
public final class ControlBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xms48m", "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final int CHANGE_COUNT = 20;
    private static final long IN_FORCE_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 10;
    private static final long LIGHT_PERIOD_MILLIS = 200;

    private final LocalDeployment mDeployment;
    private final Ticker mTicker = Ticker.system();
    private final OkHttpClient mHttp = new OkHttpClient();
    private final LoadCounters mCounters = new LoadCounters();
    private final Map<String, Long> mMinHeapBytes = new HashMap<>();

    private ControlBench(LocalDeployment deployment) {
        mDeployment = deployment;
    }

    /**
     * Runs the bench.
     *
     * @param arguments flags; see {@code --help}
     * @throws Exception if the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> daemons = intOption(parser, "daemons", 3);
        OptionSpec<Integer> seconds = intOption(parser, "seconds", 30);
        OptionSpec<Integer> warmUp = intOption(parser, "warm-up-seconds", 15);
        OptionSpec<Integer> shards = intOption(parser, "shards", 64);
        OptionSpec<Integer> workspaces = intOption(parser, "workspaces", 8);
        OptionSpec<Integer> engines = intOption(parser, "engines", 6);
        parser.accepts("json", "print the result as JSON (always done)");
        parser.accepts("help").forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        List<String> names =
                IntStream.range(0, options.valueOf(workspaces)).mapToObj(i -> "ws-" + i).toList();
        try (LocalDeployment deployment =
                LocalDeployment.builder()
                        .daemons(options.valueOf(daemons))
                        .engines(options.valueOf(engines))
                        .plain(3)
                        .shards(options.valueOf(shards))
                        .workspaces(names)
                        .proxies(true)
                        .javaOptions(JAVA_OPTIONS)
                        .build()
                        .start()) {
            ObjectNode out = MAPPER.createObjectNode();
            out.put("daemons", options.valueOf(daemons));
            out.put("shards", options.valueOf(shards));
            out.put("workspaces", options.valueOf(workspaces));
            out.put("targets", options.valueOf(engines) + 3);
            ControlBench bench = new ControlBench(deployment);
            bench.run(out, options.valueOf(warmUp), options.valueOf(seconds));
            System.out.println(MAPPER.writeValueAsString(out));
        }
        System.exit(0);
    }

    private static OptionSpec<Integer> intOption(OptionParser parser, String name, int ifAbsent) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(ifAbsent);
    }

    private void run(ObjectNode out, int warmUpSeconds, int seconds) throws Exception {
        System.err.println("warming up seconds=" + warmUpSeconds);
        Pauses.pause(TimeUnit.SECONDS.toMillis(warmUpSeconds));
        System.err.println("idle seconds=" + seconds);
        measure(out, "control_", seconds);
        out.put(
                "control_heap_bytes",
                mMinHeapBytes.values().stream().mapToLong(heap -> heap).max().orElse(0));
        System.err.println("light traffic seconds=" + seconds);
        measureWithLightTraffic(() -> measure(out, "light_", seconds));
        out.put("light_programs", mCounters.get(LoadCounters.Counter.PROGRAMS));
        out.put("light_completed", mCounters.get(LoadCounters.Counter.COMPLETED));
        out.set("table_reads_per_second", out.remove("control_table_reads_per_second"));
        out.set("table_writes_per_second", out.remove("control_table_writes_per_second"));
        System.err.println("changes=" + CHANGE_COUNT);
        out.put("config_in_force_p99_ms", measureChanges());
    }

    private void measure(ObjectNode out, String prefix, int seconds) throws IOException {
        ControlSample before = ControlSample.read(mDeployment, mTicker);
        mMinHeapBytes.clear();
        long end = mTicker.readMillis() + TimeUnit.SECONDS.toMillis(seconds);
        while (mTicker.readMillis() < end) {
            // The minimum of the used heap is the best estimate of the live heap, as it contains
            // the least garbage.
            for (DaemonProcess daemon : mDeployment.daemons()) {
                mMinHeapBytes.merge(daemon.endpoints().vm(), readHeapUsed(daemon), Math::min);
            }
            Pauses.pause(5_000);
        }
        ControlSample after = ControlSample.read(mDeployment, mTicker);
        after.addRates(out, prefix, before, mDeployment.daemons().size());
    }

    private long readHeapUsed(DaemonProcess daemon) throws IOException {
        Request request = new Request.Builder().url(daemon.adminUrl() + "/metrics").build();
        try (Response response = mHttp.newCall(request).execute()) {
            return response.body()
                    .string()
                    .lines()
                    .filter(line -> line.startsWith("jvm_heap_used_bytes "))
                    .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1)))
                    .findFirst()
                    .orElseThrow(
                            () -> new IOException("jvm_heap_used_bytes is missing in /metrics"));
        }
    }

    /** A measurement that may fail with an I/O error. */
    private interface Measurement {
        void run() throws IOException;
    }

    private void measureWithLightTraffic(Measurement measurement) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        AtomicBoolean stop = new AtomicBoolean();
        List<TraceStep> steps =
                List.of(
                        new TraceStep(new TraceStep.Chat(20, 10), null, null, null),
                        new TraceStep(null, new TraceStep.Call("/stock?item=1", "GET"), null, null),
                        new TraceStep(new TraceStep.Chat(20, 10), null, null, null));
        threads.execute(
                () -> {
                    List<String> workspaces = mDeployment.workspaces();
                    for (int i = 0; !stop.get(); i++) {
                        String workspace = workspaces.get(i % workspaces.size());
                        TraceProgram program =
                                new TraceProgram(
                                        "light-" + i,
                                        workspace,
                                        "interactive",
                                        "append",
                                        10_000,
                                        steps);
                        ProgramRunner runner =
                                ProgramRunner.builder()
                                        .client(new CallerClient(mDeployment.callerUrls(), i))
                                        .counters(mCounters)
                                        .agents(threads)
                                        .build();
                        threads.execute(() -> runner.run(program, mDeployment.key(workspace)));
                        Pauses.pause(LIGHT_PERIOD_MILLIS);
                    }
                });
        try {
            measurement.run();
        } finally {
            stop.set(true);
            threads.shutdown();
            threads.awaitTermination(90, TimeUnit.SECONDS);
        }
    }

    private long measureChanges() {
        Map<Long, Long> acceptedNanos = new HashMap<>();
        List<Long> late = new ArrayList<>();
        try (ConfigRevisionMonitor monitor =
                new ConfigRevisionMonitor(
                        mDeployment, mDeployment.daemons(), mTicker, POLL_MILLIS)) {
            for (int i = 1; i <= CHANGE_COUNT; i++) {
                Configuration.Builder next =
                        mDeployment
                                .operator()
                                .call(
                                        s ->
                                                s.getConfiguration(
                                                        GetConfigurationRequest
                                                                .getDefaultInstance()))
                                .getConfiguration()
                                .toBuilder();
                next.getWorkspacesBuilder(0).setRatePerSecond(2_000 + i);
                long revision = mDeployment.apply(next.build());
                acceptedNanos.put(revision, mTicker.readNanos());
                if (!monitor.await(revision, IN_FORCE_TIMEOUT_MILLIS)) {
                    late.add(revision);
                }
            }
            late.forEach(
                    revision ->
                            System.err.println(
                                    "revision not in force in time revision=" + revision));
            return monitor.percentileMillis(acceptedNanos, 99);
        }
    }
}
