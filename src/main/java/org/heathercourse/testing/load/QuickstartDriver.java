package org.heathercourse.testing.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.testing.load.LoadCounters.Counter;

/**
 * Runs a trace against a deployment and reports the counts of callers and stand-ins.
 *
 * <p>Prints the result as one line of JSON on standard output and progress on standard error. Exits
 * with code 1 if a program failed or a violation was counted.
 */
public final class QuickstartDriver {
    private static final int BYTES_PER_CACHED_TOKEN = 1_024;
    private static final long RELEASE_TIMEOUT_MILLIS = 20_000;
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;

    private QuickstartDriver() {}

    /**
     * Runs the trace.
     *
     * @param arguments flags: entries, control, keys, trace
     * @throws Exception if the trace cannot be read or the stand-ins do not respond
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("entries").withRequiredArg().required();
        parser.accepts("control").withRequiredArg().required();
        parser.accepts("keys").withRequiredArg().required();
        parser.accepts("trace").withRequiredArg().required();
        OptionSet options = parser.parse(arguments);
        List<String> entries = Arrays.asList(((String) options.valueOf("entries")).split(","));
        Map<String, String> keys = new HashMap<>();
        for (String pair : ((String) options.valueOf("keys")).split(",")) {
            keys.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        List<TraceProgram> trace = TraceProgram.read(Path.of((String) options.valueOf("trace")));
        StandInStats stats = new StandInStats((String) options.valueOf("control"));
        LoadCounters counters = new LoadCounters();
        run(entries, keys, trace, counters);
        boolean clean = report(stats, counters);
        System.exit(clean ? 0 : 1);
    }

    private static void run(
            List<String> entries,
            Map<String, String> keys,
            List<TraceProgram> trace,
            LoadCounters counters)
            throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        CountDownLatch unfinishedPrograms = new CountDownLatch(trace.size());
        int nextEntryIndex = 0;
        for (TraceProgram program : trace) {
            CallerClient client = new CallerClient(entries, nextEntryIndex++);
            ProgramRunner runner =
                    ProgramRunner.builder()
                            .client(client)
                            .counters(counters)
                            .agents(threads)
                            .build();
            threads.execute(
                    () -> {
                        try {
                            runner.run(program, keys.get(program.workspace()));
                        } finally {
                            unfinishedPrograms.countDown();
                        }
                    });
        }
        while (!unfinishedPrograms.await(PROGRESS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
            System.err.printf(
                    "programs %d of %d, turns %d%n",
                    trace.size() - unfinishedPrograms.getCount(),
                    trace.size(),
                    counters.get(Counter.TURNS));
        }
        threads.shutdownNow();
    }

    private static boolean report(StandInStats stats, LoadCounters counters) throws IOException {
        long heldTokens = stats.heldCacheTokens();
        for (long waitedMillis = 0;
                heldTokens > 0 && waitedMillis < RELEASE_TIMEOUT_MILLIS;
                waitedMillis += 100) {
            Pauses.pause(100);
            heldTokens = stats.heldCacheTokens();
        }
        JsonNode standInCounts = stats.read("/stats");
        ObjectNode result = CallerClient.object();
        result.put("programs", counters.get(Counter.PROGRAMS));
        result.put("completed", counters.get(Counter.COMPLETED));
        result.put("turns", counters.get(Counter.TURNS));
        result.put("truncated_answers", counters.get(Counter.TRUNCATED_ANSWERS));
        result.put("leaked_keys", standInCounts.path("leaked_keys").asLong());
        result.put("out_of_order", standInCounts.path("out_of_order").asLong());
        result.put(
                "lost_history",
                standInCounts.path("lost_history").asLong()
                        + standInCounts.path("mixed_history").asLong());
        result.put("crossed_answers", counters.get(Counter.CROSSED_ANSWERS));
        result.put("duplicate_side_effects", standInCounts.path("duplicate_side_effects").asLong());
        result.put("over_budget", standInCounts.path("over_budget").asLong());
        result.put("leaked_cache_bytes", heldTokens * BYTES_PER_CACHED_TOKEN);
        System.out.println(result);
        boolean clean = counters.get(Counter.COMPLETED) == counters.get(Counter.PROGRAMS);
        for (String field :
                List.of(
                        "truncated_answers",
                        "leaked_keys",
                        "out_of_order",
                        "lost_history",
                        "crossed_answers",
                        "duplicate_side_effects",
                        "over_budget",
                        "leaked_cache_bytes")) {
            clean = clean && result.path(field).asLong() == 0;
        }
        return clean;
    }
}
