package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that crashes engine after engine, at any gateway, each time it comes.
 */
class CrashQuarantineTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);

    /** Crashes after which no gateway may send the request to an engine. */
    private static final int MAX_CRASHES = 3;

    /** Time in milliseconds within which all gateways know of the last crash. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final String DEADLY = "deadly prompt";
    private static final String SOUND = "sound prompt";
    private static final String DEADLY_PATH = "/stream/deadly";

    private final HostedDeployment mDeployment = new HostedDeployment();
    private int mRequestCount;

    @BeforeEach
    void start() {
        addGateway("vm-1");
        addGateway("vm-2");
        mDeployment.crashEnginesOn(DEADLY);
    }

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    private void addGateway(String vm) {
        mDeployment.addGateway(vm);
        int gateway = mDeployment.gateways().size() - 1;
        await().atMost(MAX_WAIT).until(() -> call(gateway, "warm-up").status() == 200);
    }

    private Response call(int gateway, String body) throws IOException {
        return call(gateway, "/stream/turn", body);
    }

    private Response call(int gateway, String path, String body) throws IOException {
        try (RawCaller caller = connect(gateway)) {
            return caller.call(request(path, body));
        }
    }

    private RawCaller connect(int gateway) throws IOException {
        return new RawCaller(mDeployment.settings(gateway).endpoint(Setting.CALLER_ADDRESS));
    }

    private String request(String path, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: "
                + HostedDeployment.HOST
                + "\r\nApi-Key: "
                + HostedDeployment.KEY
                + "\r\nX-Heathercourse-Request-Id: r"
                + ++mRequestCount
                + "\r\nX-Heathercourse-Request-Deadline: 2500\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private long deadlyRuns() {
        return List.of(mDeployment.engineA(), mDeployment.engineB()).stream()
                .map(TargetStandIn::executedRequests)
                .flatMap(List::stream)
                .filter(request -> request.body().startsWith(DEADLY))
                .count();
    }

    /** Sends the deadly request until it is quarantined at the first gateway. */
    private void crashEngines() throws IOException, InterruptedException {
        for (int i = 0; i < 10; i++) {
            assertThat(call(0, DEADLY).status()).isIn(502, 503);
            Thread.sleep(400);
        }
    }

    @Test
    void requestReachesThreeEnginesHoweverOftenItComes() throws Exception {
        crashEngines();
        assertThat(deadlyRuns()).isEqualTo(MAX_CRASHES);
        Thread.sleep(CONTACT_MILLIS);
        Response refused = call(1, DEADLY);
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.body()).contains("quarantined").contains("\"not_run\":true");
        assertThat(refused.headers()).containsKey("retry-after");
        addGateway("vm-3");
        assertThat(call(2, DEADLY).status()).as("at a gateway that has started").isEqualTo(503);
        assertThat(deadlyRuns()).isEqualTo(MAX_CRASHES);
        assertThat(call(1, SOUND).status()).isEqualTo(200);
    }

    /** Guards against a crashing request that is not recognized because its body changes. */
    @Test
    void requestWithAnotherBodyEachTimeIsRecognizedByItsPath() throws Exception {
        for (int i = 0; i < 10; i++) {
            assertThat(call(0, DEADLY_PATH, DEADLY + i).status()).isIn(502, 503);
            Thread.sleep(400);
        }
        // The first body is quarantined by itself; one crash more shows that it is the path.
        assertThat(deadlyRuns()).isLessThanOrEqualTo(MAX_CRASHES + 1);
        long runs = deadlyRuns();
        Thread.sleep(CONTACT_MILLIS);
        assertThat(call(1, DEADLY_PATH, DEADLY + 10).status()).isEqualTo(503);
        assertThat(deadlyRuns()).isEqualTo(runs);
        assertThat(call(0, SOUND).status()).as("at another path").isEqualTo(200);
    }

    /**
     * Guards against a path whose requests are all refused because several engines, such as those
     * of a rack, ended at the same moment (review/10).
     */
    @Test
    void pathIsServedAfterEnginesThatRanItEndedAtTheSameTime() throws Exception {
        mDeployment.engineA().setEventIntervalMillis(400);
        mDeployment.engineB().setEventIntervalMillis(400);
        for (int round = 0; round < 2; round++) {
            crashBothEnginesUnderStreams();
        }
        Thread.sleep(CONTACT_MILLIS);
        for (int gateway = 0; gateway < 2; gateway++) {
            Response response = call(gateway, "another prompt");
            assertThat(response.status()).as(response.body()).isEqualTo(200);
        }
    }

    /** Ends both engines at once while they run streams, whose callers then give up. */
    private void crashBothEnginesUnderStreams() throws Exception {
        List<TargetStandIn> engines = List.of(mDeployment.engineA(), mDeployment.engineB());
        List<Integer> starts = engines.stream().map(TargetStandIn::startCount).toList();
        List<RawCaller> callers = new ArrayList<>();
        Set<TargetStandIn> busy = new HashSet<>();
        while (busy.size() < engines.size()) {
            RawCaller caller = connect(0);
            callers.add(caller);
            caller.send(request("/stream/turn", "slow prompt " + mRequestCount));
            busy.add(awaitEngineOf("r" + mRequestCount));
        }
        engines.forEach(TargetStandIn::crash);
        // The gateway has noticed the ends, and the callers leave before the engines are back.
        Thread.sleep(150);
        for (RawCaller caller : callers) {
            caller.close();
        }
        for (int i = 0; i < engines.size(); i++) {
            TargetStandIn engine = engines.get(i);
            int startsBefore = starts.get(i);
            await().atMost(MAX_WAIT).until(() -> engine.startCount() > startsBefore);
        }
        // Time for the gateways to read the new incarnations.
        Thread.sleep(1_000);
    }

    /** Guards against sound requests that are refused because engines ended under them. */
    @Test
    void requestThatSucceedsInBetweenIsNeverRefused() throws Exception {
        mDeployment.engineA().setEventIntervalMillis(100);
        mDeployment.engineB().setEventIntervalMillis(100);
        for (int i = 0; i <= MAX_CRASHES; i++) {
            String id = "r" + (mRequestCount + 1);
            CompletableFuture<Response> response = CompletableFuture.supplyAsync(this::callSound);
            TargetStandIn engine = awaitEngineOf(id);
            int starts = engine.startCount();
            engine.crash();
            assertThat(response.get().isComplete()).isTrue();
            assertThat(response.get().status()).isEqualTo(200);
            await().atMost(MAX_WAIT).until(() -> engine.startCount() > starts);
        }
    }

    private Response callSound() {
        try {
            return call(0, SOUND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until an engine has received the latest request; returns the engine. */
    private TargetStandIn awaitEngineOf(String id) {
        return await().atMost(MAX_WAIT)
                .until(
                        () ->
                                List.of(mDeployment.engineA(), mDeployment.engineB()).stream()
                                        .filter(engine -> hasReceived(engine, id))
                                        .findFirst(),
                        Optional::isPresent)
                .orElseThrow();
    }

    private static boolean hasReceived(TargetStandIn engine, String id) {
        return engine.receivedRequests().stream().anyMatch(request -> id.equals(request.id()));
    }
}
