package org.heathercourse.testing.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.ListProgramsRequest;
import org.heathercourse.testing.deployment.LocalDeployment;

/**
 * Measures the latency that a daemon adds to a call, and its throughput.
 *
 * <p>Each run measures four routes with the same client and the same engine stand-in: direct calls,
 * calls without a program through a daemon, calls of a program through the daemon that owns it, and
 * calls of a program through a daemon that forwards them to the owner. Calls of a program wait
 * until its history is durable.
 */
public final class OverheadBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int WARM_UP_CALLS = 1_500;
    private static final int ROUNDS = 40;
    private static final int CALLS_PER_ROUND = 50;
    private static final int THROUGHPUT_THREADS = 16;
    private static final long THROUGHPUT_MILLIS = 3_000;
    private static final String MODEL = "planner-large";

    private final LocalDeployment mDeployment;
    private final Ticker mTicker = Ticker.system();
    private final OkHttpClient mHttp;
    private final AtomicLong mCalls = new AtomicLong();

    private OverheadBench(LocalDeployment deployment) {
        mDeployment = deployment;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequestsPerHost(THROUGHPUT_THREADS);
        mHttp =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(64, 1, TimeUnit.MINUTES))
                        .build();
    }

    /**
     * A way to reach the engine: an empty key for direct calls, a null program for calls without
     * one.
     */
    private record Route(String url, String key, String program) {}

    /**
     * Runs the bench.
     *
     * @param arguments flags; see {@code --help}
     * @throws Exception if the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("json", "print the result as JSON (always done)");
        parser.accepts("help").forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        try (LocalDeployment deployment =
                LocalDeployment.builder()
                        .daemons(2)
                        .engines(1)
                        .plain(1)
                        .rate(100_000, 100_000)
                        .zones(List.of("north"))
                        .standInFlags(
                                List.of(
                                        "--engine-ms-per-token",
                                        "1",
                                        "--engine-prefill-tokens-per-second",
                                        "10000000"))
                        .build()
                        .start()) {
            System.out.println(MAPPER.writeValueAsString(new OverheadBench(deployment).run()));
        }
        System.exit(0);
    }

    private ObjectNode run() throws Exception {
        String key = mDeployment.key("loom-hall");
        String engine = "http://127.0.0.1:" + mDeployment.targetPorts().get("engine-1");
        String first = mDeployment.callerUrls().get(0);
        String second = mDeployment.callerUrls().get(1);
        Route direct = new Route(engine, "", null);
        Route throughDaemon = new Route(first, key, null);
        String program = startProgram(first, key);
        boolean firstIsOwner = isOwnedByFirstDaemon(program);
        Route owner = new Route(firstIsOwner ? first : second, key, program);
        Route forwarded = new Route(firstIsOwner ? second : first, key, program);
        List<Route> routes = List.of(direct, throughDaemon, owner, forwarded);
        List<Histogram> histograms = new ArrayList<>();
        for (Route route : routes) {
            histograms.add(new Histogram(3));
            warmUp(route);
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int r = 0; r < routes.size(); r++) {
                Route route = withNewProgram(routes.get(r));
                for (int i = 0; i < CALLS_PER_ROUND; i++) {
                    histograms.get(r).recordValue(call(route) / 1_000);
                }
            }
            System.err.printf("round %d of %d%n", round + 1, ROUNDS);
        }
        double directRate = measureThroughput(direct);
        double throughDaemonRate = measureThroughput(throughDaemon);
        ObjectNode out = MAPPER.createObjectNode();
        out.put("direct_p50_us", histograms.get(0).getValueAtPercentile(50));
        out.put("via_p50_us", histograms.get(1).getValueAtPercentile(50));
        out.put("owner_durable_p50_us", histograms.get(2).getValueAtPercentile(50));
        out.put("forwarded_p50_us", histograms.get(3).getValueAtPercentile(50));
        out.put("via_p99_us", histograms.get(1).getValueAtPercentile(99));
        out.put("direct_p99_us", histograms.get(0).getValueAtPercentile(99));
        out.put("forwarded_p99_us", histograms.get(3).getValueAtPercentile(99));
        out.put("direct_per_second", Math.round(directRate));
        out.put("via_per_second", Math.round(throughDaemonRate));
        out.put("throughput_ratio", Math.round(1000 * throughDaemonRate / directRate) / 1000.0);
        return out;
    }

    /**
     * Starts a new program in the same shard and returns the route with it, so that histories stay
     * short.
     */
    private Route withNewProgram(Route route) throws IOException {
        if (route.program() == null) {
            return route;
        }
        ShardId shard = ShardId.of(new ProgramId(route.program()), 64);
        String name;
        do {
            name = "bench-" + mCalls.incrementAndGet();
        } while (!ShardId.of(new ProgramId(name), 64).equals(shard));
        startProgram(route.url(), route.key(), name);
        return new Route(route.url(), route.key(), name);
    }

    private String startProgram(String url, String key) throws IOException {
        String name = "bench-" + mCalls.incrementAndGet();
        startProgram(url, key, name);
        return name;
    }

    private void startProgram(String url, String key, String name) throws IOException {
        String body = "{\"program\":\"" + name + "\",\"budget_tokens\":1000000}";
        Request request =
                new Request.Builder()
                        .url(url + "/v1/programs")
                        .header("Authorization", "Bearer " + key)
                        .post(RequestBody.create(body, JSON))
                        .build();
        try (Response response = mHttp.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("cannot start a program: " + response.body().string());
            }
        }
    }

    private boolean isOwnedByFirstDaemon(String program) {
        try (OperatorConnection operator = mDeployment.operatorAt(mDeployment.daemons().get(0))) {
            return operator
                    .call(stub -> stub.listPrograms(ListProgramsRequest.getDefaultInstance()))
                    .getProgramsList()
                    .stream()
                    .anyMatch(p -> p.getProgram().equals(program));
        }
    }

    private void warmUp(Route route) throws IOException {
        Route current = route;
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            if (i % CALLS_PER_ROUND == 0) {
                current = withNewProgram(route);
            }
            call(current);
        }
    }

    private long call(Route route) throws IOException {
        String body =
                "{\"model\":\""
                        + MODEL
                        + "\",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":"
                        + "\"plan [[program=none turn=0 budget=1000000 out=1]]\"}]}";
        Request.Builder request =
                new Request.Builder()
                        .url(route.url() + "/v1/chat/completions")
                        .post(RequestBody.create(body, JSON));
        if (!route.key().isEmpty()) {
            request.header("Authorization", "Bearer " + route.key());
        }
        if (route.program() != null) {
            request.header("X-Program-Id", route.program());
            request.header("X-Program-History", "append");
            request.header("Idempotency-Key", "call-" + mCalls.incrementAndGet());
        }
        long start = mTicker.readNanos();
        try (Response response = mHttp.newCall(request.build()).execute()) {
            String text = response.body().string();
            if (!response.isSuccessful()) {
                throw new IOException(route.url() + " answered " + text);
            }
        }
        return mTicker.readNanos() - start;
    }

    private double measureThroughput(Route route) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(THROUGHPUT_THREADS);
        AtomicLong completed = new AtomicLong();
        AtomicBoolean stop = new AtomicBoolean();
        for (int i = 0; i < THROUGHPUT_THREADS; i++) {
            threads.submit(
                    () -> {
                        while (!stop.get()) {
                            call(route);
                            completed.incrementAndGet();
                        }
                        return null;
                    });
        }
        TimeUnit.MILLISECONDS.sleep(THROUGHPUT_MILLIS);
        long count = completed.get();
        stop.set(true);
        threads.shutdown();
        threads.awaitTermination(10, TimeUnit.SECONDS);
        return count * 1000.0 / THROUGHPUT_MILLIS;
    }
}
