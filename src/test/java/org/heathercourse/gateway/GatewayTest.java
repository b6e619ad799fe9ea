package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller.Answer;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the promises of the whole path against targets, callers and a store that misbehave. */
class GatewayTest {
    private static final Duration PATIENCE = Duration.ofSeconds(12);

    private static HostedDeployment sShared;

    private HostedDeployment mDeployment;
    private Settings mSettings;
    private int mRequests;

    /** Tests that leave the deployment as it was share one. */
    @BeforeAll
    static void startShared() {
        sShared = new HostedDeployment();
        sShared.addGateway("vm-1");
    }

    @AfterAll
    static void stopShared() {
        sShared.close();
    }

    @BeforeEach
    void start() {
        use(sShared);
    }

    private void use(HostedDeployment deployment) {
        mDeployment = deployment;
        mSettings = deployment.settings(0);
        deployment.configure(HostedDeployment.KEY, 1_000);
        await().atMost(PATIENCE).until(() -> readiness() == 200);
        // Shares of rates start empty, and new programs are admitted last.
        await().atMost(PATIENCE)
                .until(() -> call(turn("warm" + mRequests, 1_000, 100)).status() == 200);
        clearReceived();
    }

    /** Replaces the shared deployment, for tests that change gateways or targets. */
    private void useOwn() {
        stopShared();
        startShared();
        use(sShared);
    }

    private void clearReceived() {
        mDeployment.engineA().setEventIntervalMillis(0);
        mDeployment.engineB().setEventIntervalMillis(0);
        for (TargetStandIn target :
                List.of(mDeployment.engineA(), mDeployment.engineB(), mDeployment.plain())) {
            target.receivedRequests().clear();
            target.clearFaults();
        }
    }

    private RawCaller caller() throws IOException {
        return new RawCaller(mSettings.endpoint(Setting.CALLER_ADDRESS));
    }

    private int readiness() throws IOException {
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.READINESS_ADDRESS))) {
            return caller.call("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").status();
        }
    }

    private Answer call(String request) throws IOException {
        try (RawCaller caller = caller()) {
            return caller.call(request);
        }
    }

    private String id() {
        return "r" + mRequests;
    }

    private String head(String method, String uri, String more) {
        mRequests++;
        return method
                + " "
                + uri
                + " HTTP/1.1\r\nHost: "
                + HostedDeployment.HOST
                + "\r\nApi-Key: "
                + HostedDeployment.KEY
                + "\r\nX-Heathercourse-Request-Id: "
                + id()
                + "\r\nX-Heathercourse-Request-Deadline: 2500\r\n"
                + more;
    }

    private String get(String uri, String more) {
        return head("GET", uri, more) + "\r\n";
    }

    private String post(String uri, String body, String more) {
        return head("POST", uri, more) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String turn(String program, int budget, int most) {
        return post(
                "/stream/turn",
                "prompt",
                "X-Heathercourse-Program-Id: "
                        + program
                        + "\r\nX-Heathercourse-Token-Budget: "
                        + budget
                        + "\r\nX-Heathercourse-Token-Usage: 100,"
                        + most
                        + "\r\n");
    }

    private static String events(int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int i = from; i <= to; i++) {
            events.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        return events.toString();
    }

    private TargetStandIn engineThatRan() {
        return mDeployment.engineA().executedRequests().isEmpty()
                ? mDeployment.engineB()
                : mDeployment.engineA();
    }

    private List<ReceivedRequest> ranAtEngines() {
        List<ReceivedRequest> ran = new ArrayList<>(mDeployment.engineA().executedRequests());
        ran.addAll(mDeployment.engineB().executedRequests());
        return ran;
    }

    // What passes through

    @Test
    void requestAndAnswerPassUnchanged() throws IOException {
        Answer answer =
                call(
                        post(
                                "/order/yarn?a=%20b&c",
                                "body",
                                "X-Other: kept\r\nX-Heathercourse-Tenant: forged\r\n"
                                        + "Connection: X-Hop\r\nX-Hop: dropped\r\n"));
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("answer to " + id());
        assertThat(answer.headers())
                .containsEntry("x-heathercourse-response-signature", "sig-" + id());
        ReceivedRequest received = mDeployment.plain().receivedRequests().get(0);
        assertThat(received.uri()).isEqualTo("/order/yarn?a=%20b&c");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.headers().get("X-Other")).isEqualTo("kept");
        assertThat(received.headers().get("X-Hop")).isNull();
        assertThat(received.headers().getAll("X-Heathercourse-Tenant")).containsExactly("mill");
        assertThat(received.headers().get("Api-Key")).isNull();
        long left = Long.parseLong(received.headers().get("X-Heathercourse-Request-Deadline"));
        assertThat(left).isBetween(1L, 2_500L);
    }

    @Test
    void streamPassesInWholeEvents() throws IOException {
        Answer answer = call(turn("p", 1_000, 100));
        assertThat(answer.body()).isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
        assertThat(answer.headers()).containsEntry("content-type", "text/event-stream");
    }

    @Test
    void requestsOfConnectionAreAnsweredInOrder() throws IOException {
        try (RawCaller caller = caller()) {
            String first = get("/read/1", "");
            String second = get("/read/2", "");
            caller.send(first + second);
            assertThat(caller.read().body()).isEqualTo("answer to r" + (mRequests - 1));
            assertThat(caller.read().body()).isEqualTo("answer to r" + mRequests);
        }
    }

    @Test
    void chunkedBodyReachesTheTargetWithLength() throws IOException {
        String request =
                head("POST", "/order/yarn", "Transfer-Encoding: chunked\r\n")
                        + "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assertThat(call(request).status()).isEqualTo(200);
        assertThat(mDeployment.plain().receivedRequests().get(0).body()).isEqualTo("abcde");
    }

    // What is refused

    @Test
    void hiddenRequestDoesNotReachTarget() throws IOException {
        String request =
                head("POST", "/order/yarn", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n")
                        + "\r\n0\r\n\r\nGET /order/hidden HTTP/1.1\r\nHost: "
                        + HostedDeployment.HOST
                        + "\r\n\r\n";
        assertThat(call(request).status()).isEqualTo(400);
        assertThat(mDeployment.plain().receivedRequests()).isEmpty();
    }

    @Test
    void unknownKeyRouteAndLongBodyAreToldApart() throws IOException {
        String wrongKey = get("/read/1", "").replace(HostedDeployment.KEY, "key-9");
        assertThat(call(wrongKey).status()).isEqualTo(401);
        assertThat(call(get("/nowhere/", "")).status()).isEqualTo(404);
        assertThat(call(head("POST", "/order/1", "Content-Length: 70000\r\n\r\n")).status())
                .isEqualTo(413);
        assertThat(mDeployment.plain().receivedRequests()).isEmpty();
    }

    @Test
    void openRouteNeedsNoKey() throws IOException {
        String request = get("/open/1", "").replace("Api-Key: key-1\r\n", "");
        assertThat(call(request).status()).isEqualTo(200);
        assertThat(
                        mDeployment
                                .plain()
                                .receivedRequests()
                                .get(0)
                                .headers()
                                .get("X-Heathercourse-Tenant"))
                .isNull();
    }

    @Test
    void withdrawnKeyStopsWithTheNewConfiguration() {
        mDeployment.configure("key-2", 1_000);
        await().atMost(PATIENCE).until(() -> call(get("/read/1", "")).status() == 401);
    }

    @Test
    void keysLapseWhileTheStoreIsSilentAndOpenRoutesGoOn() throws IOException {
        mDeployment.store().setMode(StoreStandIn.Mode.UNRESPONSIVE);
        await().atMost(PATIENCE)
                .until(() -> call(get("/read/1", "")).status() == 503 && readiness() == 503);
        Answer refusal = call(get("/read/1", ""));
        assertThat(refusal.headers()).containsKey("retry-after");
        assertThat(refusal.body()).contains("\"not_run\":true");
        assertThat(call(get("/open/1", "")).status()).isEqualTo(200);
        mDeployment.store().setMode(StoreStandIn.Mode.SERVES);
        await().atMost(PATIENCE).until(() -> call(get("/read/1", "")).status() == 200);
    }

    @Test
    void spentBudgetIsRefusedAndNotRun() throws IOException {
        int granted = 0;
        while (call(turn("spender", 300, 100)).status() == 200) {
            granted++;
        }
        // Each turn uses 5 events of 10 tokens; the last may use up to 100 tokens.
        assertThat(granted).isBetween(3, 5);
        assertThat(ranAtEngines()).hasSize(granted);
        assertThat(call(turn("spender", 300, 100)).status()).isEqualTo(402);
        assertThat(call(turn("other", 300, 100)).status()).isEqualTo(200);
    }

    @Test
    void requestsAboveTheRateAreRefusedWithTimeToReturn() throws IOException {
        mDeployment.configure(HostedDeployment.KEY, 3);
        await().atMost(PATIENCE)
                .untilAsserted(
                        () -> {
                            Answer last = lastOfBurst(12);
                            assertThat(last.status()).isEqualTo(429);
                            assertThat(last.headers()).containsKey("retry-after");
                        });
    }

    /** Sends requests at once on connections of their own; returns the answer to the last one. */
    private Answer lastOfBurst(int count) throws IOException {
        List<RawCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                RawCaller caller = caller();
                callers.add(caller);
                caller.send(get("/read/1", ""));
            }
            return callers.get(count - 1).read();
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    // Targets that fail

    @Test
    void refusedRequestGoesToAnotherTarget() throws IOException {
        mDeployment.engineA().enqueueFaults(Fault.REFUSE);
        mDeployment.engineB().enqueueFaults(Fault.REFUSE);
        call(turn("p1", 1_000, 100));
        Answer answer = call(turn("p1", 1_000, 100));
        assertThat(answer.status()).isIn(200, 503);
        assertThat(call(turn("p1", 1_000, 100)).status()).isEqualTo(200);
    }

    @Test
    void unsafeRequestThatMayHaveRunIsNeitherRepeatedNorCalledNotRun() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.LOSE_ANSWER);
        Answer answer = call(post("/order/yarn", "order", ""));
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.body()).contains("\"not_run\":false");
        assertThat(answer.headers()).doesNotContainKey("x-heathercourse-response-signature");
        assertThat(mDeployment.plain().receivedRequests()).hasSize(1);
    }

    @Test
    void idempotentRequestIsRepeated() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.LOSE_ANSWER, Fault.SHORT_BODY);
        Answer answer = call(get("/read/1", ""));
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("answer to " + id());
        assertThat(mDeployment.plain().receivedRequests()).hasSize(3);
    }

    @Test
    void brokenStreamGoesOnWithinOneAnswer() throws IOException {
        mDeployment.engineA().enqueueFaults(Fault.BREAK_STREAM);
        mDeployment.engineB().enqueueFaults(Fault.BREAK_STREAM);
        Answer answer = call(turn("p1", 1_000, 100));
        assertThat(answer.body()).isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
        TargetStandIn engine = engineThatRan();
        assertThat(engine.executedRequests()).hasSize(2);
        assertThat(ranAtEngines()).hasSize(2);
        assertThat(engine.executedRequests().get(1).headers().get("Last-Event-Id")).isEqualTo("2");
        assertThat(answer.headers().get("x-heathercourse-response-signature"))
                .isEqualTo("sig-" + id() + "-1");
    }

    @Test
    void lateAnswerOfAnotherRequestIsNotDelivered() throws IOException {
        try (RawCaller caller = caller()) {
            for (int i = 0; i < 20; i++) {
                mDeployment.plain().enqueueFaults(Fault.EXTRA_ANSWER);
                Answer answer = caller.call(post("/order/yarn", "x", ""));
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo("answer to " + id());
            }
        }
    }

    @Test
    void successWithoutTheMarkIsNotDelivered() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.UNSIGNED);
        assertThat(call(post("/order/yarn", "x", "")).status()).isEqualTo(502);
    }

    @Test
    void failureOfTheApplicationPassesWithItsMark() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.FAIL);
        Answer answer = call(post("/order/yarn", "x", ""));
        assertThat(answer.status()).isEqualTo(500);
        assertThat(answer.headers()).containsKey("x-heathercourse-response-signature");
    }

    @Test
    void routeTimeoutEndsRequestThatHangs() throws IOException {
        int cancelledBefore = mDeployment.plain().cancelledCount();
        mDeployment.plain().enqueueFaults(Fault.HANG);
        long before = Ticker.system().readMillis();
        Answer answer = call(get("/open/1", ""));
        assertThat(answer.status()).isEqualTo(504);
        assertThat(Ticker.system().readMillis() - before).isBetween(450L, 2_000L);
        await().atMost(PATIENCE)
                .until(() -> mDeployment.plain().cancelledCount() > cancelledBefore);
    }

    @Test
    void callerThatLeavesEndsTheWorkAtTheTarget() throws IOException {
        useOwn();
        mDeployment.engineA().setEventIntervalMillis(200);
        mDeployment.engineB().setEventIntervalMillis(200);
        try (RawCaller caller = caller()) {
            caller.send(turn("p1", 1_000, 100));
            assertThat(caller.line()).contains("200");
        }
        await().atMost(PATIENCE)
                .until(
                        () ->
                                mDeployment.engineA().cancelledCount()
                                                + mDeployment.engineB().cancelledCount()
                                        == 1);
    }

    @Test
    void leavingTargetGetsNothingNew() throws IOException {
        useOwn();
        TargetStandIn engine = mDeployment.engineA();
        mDeployment.store().register(engine.id(), engine.row("engines", "zone-a", "draining"));
        await().atMost(PATIENCE)
                .until(
                        () -> {
                            engine.receivedRequests().clear();
                            for (int i = 0; i < 6; i++) {
                                call(turn("q" + i, 1_000, 100));
                            }
                            return engine.receivedRequests().isEmpty();
                        });
    }

    @Test
    void foreignRowInTheTargetTableHarmsNobody() throws IOException {
        useOwn();
        mDeployment.store().register("foreign", "{\"service\":5}");
        mDeployment.store().register("garbage", "not json");
        assertThat(call(get("/read/1", "")).status()).isEqualTo(200);
    }

    @Test
    void lostHistoryLeadsToFullRead() {
        mDeployment.store().rows().discardHistory();
        mDeployment.configure("key-2", 1_000);
        mDeployment.store().rows().discardHistory();
        await().atMost(PATIENCE).until(() -> call(get("/read/1", "")).status() == 401);
    }

    // Several gateways and stops

    @Test
    void callersAreToldTheAddressesOfLivingGateways() throws IOException {
        useOwn();
        mDeployment.addGateway("vm-2");
        String question = "GET /api/resolve?name=h&zone=zone-a HTTP/1.1\r\nHost: x\r\n\r\n";
        await().atMost(PATIENCE)
                .untilAsserted(
                        () -> {
                            try (RawCaller caller =
                                    new RawCaller(mSettings.endpoint(Setting.DIRECTORY_ADDRESS))) {
                                assertThat(caller.call(question).body())
                                        .contains(mSettings.text(Setting.CALLER_ADDRESS))
                                        .contains(
                                                mDeployment
                                                        .settings(1)
                                                        .text(Setting.CALLER_ADDRESS));
                            }
                        });
    }

    @Test
    void leavingGatewayAnswersWhatItReadAndSendsOthersAway() throws Exception {
        useOwn();
        mDeployment.engineA().setEventIntervalMillis(150);
        mDeployment.engineB().setEventIntervalMillis(150);
        try (RawCaller caller = caller()) {
            caller.send(turn("p1", 1_000, 100));
            await().atMost(PATIENCE).until(() -> ranAtEngines().size() == 1);
            Gateway gateway = mDeployment.gateways().get(0);
            gateway.leave();
            await().atMost(PATIENCE).until(() -> readiness() == 503);
            Answer late = call(get("/read/late", ""));
            assertThat(late.status()).isEqualTo(200);
            assertThat(late.headers()).containsEntry("connection", "close");
            CompletableFuture<Boolean> stopped =
                    CompletableFuture.supplyAsync(() -> gateway.stop(5_000));
            assertThat(caller.read().body()).isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
            assertThat(stopped.join()).isTrue();
        } finally {
            useOwn();
        }
    }

    @Test
    void metricsNameWhatHappened() throws IOException {
        useOwn();
        call(get("/read/1", ""));
        call(get("/nowhere/", ""));
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.METRICS_ADDRESS))) {
            String text = caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
            assertThat(text)
                    .contains("calls_answered_total")
                    .contains("calls_refused_total{kind=\"unknown_route\"} 1")
                    .contains("call_first_byte_millis")
                    .contains("configuration_version");
        }
    }
}
