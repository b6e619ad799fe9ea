package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests a gateway from caller to target: guards against wrong, lost or repeated responses when
 * targets, callers or the store fail.
 */
class GatewayTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(12);
    private static final long CONFIGURATION_WAIT_MILLIS = 1_500;

    private static HostedDeployment sShared;

    private HostedDeployment mDeployment;
    private Settings mSettings;
    private int mRequestCount;

    /** Starts the deployment shared by tests that do not change gateways or targets. */
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
        useDeployment(sShared);
    }

    private void useDeployment(HostedDeployment deployment) {
        mDeployment = deployment;
        mSettings = deployment.settings(0);
        deployment.configure(HostedDeployment.KEY, 1_000);
        await().atMost(MAX_WAIT).until(() -> readinessStatus() == 200);
        // Rate shares start without tokens, and new programs are the last to be admitted.
        await().atMost(MAX_WAIT)
                .until(() -> call(turn("warm" + mRequestCount, 1_000, 100)).status() == 200);
        resetTargets();
    }

    /** Replaces the shared deployment; for tests that change gateways or targets. */
    private void useNewDeployment() {
        stopShared();
        startShared();
        useDeployment(sShared);
    }

    private void resetTargets() {
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

    private int readinessStatus() throws IOException {
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.READINESS_ADDRESS))) {
            return caller.call("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").status();
        }
    }

    private Response call(String request) throws IOException {
        try (RawCaller caller = caller()) {
            return caller.call(request);
        }
    }

    private String lastRequestId() {
        return "r" + mRequestCount;
    }

    private String head(String method, String uri, String headers) {
        mRequestCount++;
        return method
                + " "
                + uri
                + " HTTP/1.1\r\nHost: "
                + HostedDeployment.HOST
                + "\r\nApi-Key: "
                + HostedDeployment.KEY
                + "\r\nX-Heathercourse-Request-Id: "
                + lastRequestId()
                + "\r\nX-Heathercourse-Request-Deadline: 2500\r\n"
                + headers;
    }

    private String get(String uri, String headers) {
        return head("GET", uri, headers) + "\r\n";
    }

    private String post(String uri, String body, String headers) {
        return head("POST", uri, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String turn(String program, int budgetTokens, int maxOutputTokens) {
        return post(
                "/stream/turn",
                "prompt",
                "X-Heathercourse-Program-Id: "
                        + program
                        + "\r\nX-Heathercourse-Token-Budget: "
                        + budgetTokens
                        + "\r\nX-Heathercourse-Token-Usage: 100,"
                        + maxOutputTokens
                        + "\r\n");
    }

    private static String events(int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int i = from; i <= to; i++) {
            events.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        return events.toString();
    }

    private TargetStandIn engineWithRuns() {
        return mDeployment.engineA().executedRequests().isEmpty()
                ? mDeployment.engineB()
                : mDeployment.engineA();
    }

    private List<ReceivedRequest> engineRuns() {
        List<ReceivedRequest> ran = new ArrayList<>(mDeployment.engineA().executedRequests());
        ran.addAll(mDeployment.engineB().executedRequests());
        return ran;
    }

    // Forwarding

    @Test
    void forwardsRequestAndResponseUnchanged() throws IOException {
        Response response =
                call(
                        post(
                                "/order/yarn?a=%20b&c",
                                "body",
                                "X-Other: kept\r\nX-Heathercourse-Tenant: forged\r\n"
                                        + "Connection: X-Hop\r\nX-Hop: dropped\r\n"));
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to " + lastRequestId());
        assertThat(response.headers())
                .containsEntry("x-heathercourse-response-signature", "sig-" + lastRequestId());
        ReceivedRequest received = mDeployment.plain().receivedRequests().get(0);
        assertThat(received.uri()).isEqualTo("/order/yarn?a=%20b&c");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.headers().get("X-Other")).isEqualTo("kept");
        assertThat(received.headers().get("X-Hop")).isNull();
        assertThat(received.headers().getAll("X-Heathercourse-Tenant")).containsExactly("mill");
        assertThat(received.headers().get("Api-Key")).isNull();
        long remainingMillis =
                Long.parseLong(received.headers().get("X-Heathercourse-Request-Deadline"));
        assertThat(remainingMillis).isBetween(1L, 2_500L);
    }

    @Test
    void forwardsStreamInCompleteEvents() throws IOException {
        Response response = call(turn("p", 1_000, 100));
        assertThat(response.body()).isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
        assertThat(response.headers()).containsEntry("content-type", "text/event-stream");
    }

    @Test
    void answersPipelinedRequestsInOrder() throws IOException {
        try (RawCaller caller = caller()) {
            String first = get("/read/1", "");
            String second = get("/read/2", "");
            caller.send(first + second);
            assertThat(caller.readResponse().body()).isEqualTo("answer to r" + (mRequestCount - 1));
            assertThat(caller.readResponse().body()).isEqualTo("answer to r" + mRequestCount);
        }
    }

    /** Guards against a running call that is cut because many requests follow on its connection. */
    @Test
    void answersMoreRequestsThanTheQueueOfConnectionHolds() throws IOException {
        int first = mRequestCount + 1;
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            requests.append(get("/read/" + i, ""));
        }
        try (RawCaller caller = caller()) {
            caller.send(requests.toString());
            for (int i = 0; i < 60; i++) {
                assertThat(caller.readResponse().body()).isEqualTo("answer to r" + (first + i));
            }
        }
    }

    /** Guards against a request that is started although its connection was closed before it. */
    @Test
    void requestBehindAbortedResponseIsNotStarted() throws Exception {
        useNewDeployment();
        mDeployment.engineA().setEventIntervalMillis(1_000);
        mDeployment.engineB().setEventIntervalMillis(1_000);
        // Without a rate to reserve, a call is sent to its target as soon as it starts.
        mDeployment.configure(HostedDeployment.KEY, 0);
        Thread.sleep(CONFIGURATION_WAIT_MILLIS);
        try (RawCaller caller = caller()) {
            caller.send(turn("aborted", 1_000, 100));
            Thread.sleep(100);
            caller.send(post("/order/yarn", "behind", ""));
            Thread.sleep(1_900);
            // Leaves an open connection to the target.
            assertThat(call(post("/order/yarn", "warm", "")).status()).isEqualTo(200);
            assertThat(caller.readResponse().isComplete()).isFalse();
            Thread.sleep(300);
            assertThat(mDeployment.plain().receivedRequests())
                    .extracting(ReceivedRequest::body)
                    .containsExactly("warm");
        } finally {
            useNewDeployment();
        }
    }

    /** Guards against a running call that is cut by the time limit for heads of requests. */
    @Test
    void thirdPipelinedRequestDoesNotCutSecond() throws Exception {
        try (RawCaller caller = caller()) {
            caller.send(post("/order/yarn?answer_delay_ms=300", "1", ""));
            Thread.sleep(100);
            caller.send(post("/order/yarn?answer_delay_ms=1700", "2", ""));
            Thread.sleep(500);
            caller.send(post("/order/yarn", "3", ""));
            for (int i = 0; i < 3; i++) {
                assertThat(caller.readResponse().status()).isEqualTo(200);
            }
        }
    }

    /** Guards against the same cut by the rest of the body of the running call's request. */
    @Test
    void bodyBehindResponseDoesNotCutItsRequest() throws Exception {
        try (RawCaller caller = caller()) {
            caller.send(post("/order/yarn?answer_delay_ms=300", "1", ""));
            Thread.sleep(100);
            String second = post("/order/yarn?answer_delay_ms=1700", "22", "");
            caller.send(second.substring(0, second.length() - 1));
            Thread.sleep(500);
            caller.send("2");
            assertThat(caller.readResponse().status()).isEqualTo(200);
            assertThat(caller.readResponse().status()).isEqualTo(200);
        }
    }

    /** Guards against a head without a time limit because its first bytes came behind a call. */
    @Test
    void closesConnectionWhoseNextHeadIsNotCompletedInTime() throws Exception {
        try (RawCaller caller = caller()) {
            caller.send(post("/order/yarn?answer_delay_ms=300", "1", ""));
            Thread.sleep(100);
            caller.send("POST /order/yarn HTTP/1.1\r\nHost: ");
            assertThat(caller.readResponse().status()).isEqualTo(200);
            // Keeps the connection from being idle; the time limit for heads is 1 s.
            CompletableFuture<Boolean> closed =
                    CompletableFuture.supplyAsync(() -> isEndedByPeer(caller));
            for (int i = 0; i < 13 && !closed.isDone(); i++) {
                caller.send("x");
                Thread.sleep(150);
            }
            assertThat(closed).isCompletedWithValue(true);
        }
    }

    /** Returns whether the gateway ends the connection without a response. */
    private static boolean isEndedByPeer(RawCaller caller) {
        try {
            return caller.isClosedByPeer();
        } catch (SocketException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void convertsChunkedBodyToContentLength() throws IOException {
        String request =
                head("POST", "/order/yarn", "Transfer-Encoding: chunked\r\n")
                        + "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assertThat(call(request).status()).isEqualTo(200);
        assertThat(mDeployment.plain().receivedRequests().get(0).body()).isEqualTo("abcde");
    }

    // Rejection

    @Test
    void rejectsSmuggledRequest() throws IOException {
        String request =
                head("POST", "/order/yarn", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n")
                        + "\r\n0\r\n\r\nGET /order/hidden HTTP/1.1\r\nHost: "
                        + HostedDeployment.HOST
                        + "\r\n\r\n";
        assertThat(call(request).status()).isEqualTo(400);
        assertThat(mDeployment.plain().receivedRequests()).isEmpty();
    }

    @Test
    void rejectsUnknownKeyRouteAndLongBodyWithDistinctStatus() throws IOException {
        String wrongKey = get("/read/1", "").replace(HostedDeployment.KEY, "key-9");
        assertThat(call(wrongKey).status()).isEqualTo(401);
        assertThat(call(get("/nowhere/", "")).status()).isEqualTo(404);
        assertThat(call(head("POST", "/order/1", "Content-Length: 70000\r\n\r\n")).status())
                .isEqualTo(413);
        assertThat(mDeployment.plain().receivedRequests()).isEmpty();
    }

    @Test
    void anonymousRouteNeedsNoKey() throws IOException {
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
    void rejectsWithdrawnKeyAfterConfigurationChange() {
        mDeployment.configure("key-2", 1_000);
        await().atMost(MAX_WAIT).until(() -> call(get("/read/1", "")).status() == 401);
    }

    @Test
    void rejectsKeysButServesAnonymousRoutesWhileStoreDoesNotReply() throws IOException {
        mDeployment.store().setMode(StoreStandIn.Mode.UNRESPONSIVE);
        await().atMost(MAX_WAIT)
                .until(() -> call(get("/read/1", "")).status() == 503 && readinessStatus() == 503);
        Response error = call(get("/read/1", ""));
        assertThat(error.headers()).containsKey("retry-after");
        assertThat(error.body()).contains("\"not_run\":true");
        assertThat(call(get("/open/1", "")).status()).isEqualTo(200);
        mDeployment.store().setMode(StoreStandIn.Mode.SERVES);
        await().atMost(MAX_WAIT).until(() -> call(get("/read/1", "")).status() == 200);
    }

    @Test
    void rejectsTurnsBeyondBudgetWithoutRunningThem() throws IOException {
        int granted = 0;
        while (call(turn("spender", 300, 100)).status() == 200) {
            granted++;
        }
        // Each turn generates 5 events of 10 tokens but reserves 100 tokens.
        assertThat(granted).isBetween(3, 5);
        assertThat(engineRuns()).hasSize(granted);
        assertThat(call(turn("spender", 300, 100)).status()).isEqualTo(402);
        assertThat(call(turn("other", 300, 100)).status()).isEqualTo(200);
    }

    @Test
    void rejectsRequestsAboveRateWithRetryAfter() throws IOException {
        mDeployment.configure(HostedDeployment.KEY, 3);
        await().atMost(MAX_WAIT)
                .untilAsserted(
                        () -> {
                            Response last = lastResponseOfBurst(12);
                            assertThat(last.status()).isEqualTo(429);
                            assertThat(last.headers()).containsKey("retry-after");
                        });
    }

    /** Sends concurrent requests on separate connections; returns the response to the last one. */
    private Response lastResponseOfBurst(int count) throws IOException {
        List<RawCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                RawCaller caller = caller();
                callers.add(caller);
                caller.send(get("/read/1", ""));
            }
            return callers.get(count - 1).readResponse();
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    // Failures of targets, callers and the store

    @Test
    void retriesRejectedRequestAtAnotherTarget() throws IOException {
        mDeployment.engineA().enqueueFaults(Fault.REFUSE);
        mDeployment.engineB().enqueueFaults(Fault.REFUSE);
        call(turn("p1", 1_000, 100));
        Response response = call(turn("p1", 1_000, 100));
        assertThat(response.status()).isIn(200, 503);
        assertThat(call(turn("p1", 1_000, 100)).status()).isEqualTo(200);
    }

    @Test
    void doesNotRetryNonIdempotentRequestThatMayHaveRun() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.LOSE_ANSWER);
        Response response = call(post("/order/yarn", "order", ""));
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body()).contains("\"not_run\":false");
        assertThat(response.headers()).doesNotContainKey("x-heathercourse-response-signature");
        assertThat(mDeployment.plain().receivedRequests()).hasSize(1);
    }

    @Test
    void retriesIdempotentRequest() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.LOSE_ANSWER, Fault.SHORT_BODY);
        Response response = call(get("/read/1", ""));
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("answer to " + lastRequestId());
        assertThat(mDeployment.plain().receivedRequests()).hasSize(3);
    }

    @Test
    void resumesBrokenStreamWithinOneResponse() throws IOException {
        mDeployment.engineA().enqueueFaults(Fault.BREAK_STREAM);
        mDeployment.engineB().enqueueFaults(Fault.BREAK_STREAM);
        Response response = call(turn("p1", 1_000, 100));
        assertThat(response.body()).isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
        TargetStandIn engine = engineWithRuns();
        assertThat(engine.executedRequests()).hasSize(2);
        assertThat(engineRuns()).hasSize(2);
        assertThat(engine.executedRequests().get(1).headers().get("Last-Event-Id")).isEqualTo("2");
        assertThat(response.headers().get("x-heathercourse-response-signature"))
                .isEqualTo("sig-" + lastRequestId() + "-1");
    }

    @Test
    void skipsResponseToAnotherRequest() throws IOException {
        try (RawCaller caller = caller()) {
            for (int i = 0; i < 20; i++) {
                mDeployment.plain().enqueueFaults(Fault.EXTRA_ANSWER);
                Response response = caller.call(post("/order/yarn", "x", ""));
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.body()).isEqualTo("answer to " + lastRequestId());
            }
        }
    }

    @Test
    void rejectsSuccessResponseWithoutSignature() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.UNSIGNED);
        assertThat(call(post("/order/yarn", "x", "")).status()).isEqualTo(502);
    }

    @Test
    void forwardsErrorResponseOfTargetWithSignature() throws IOException {
        mDeployment.plain().enqueueFaults(Fault.FAIL);
        Response response = call(post("/order/yarn", "x", ""));
        assertThat(response.status()).isEqualTo(500);
        assertThat(response.headers()).containsKey("x-heathercourse-response-signature");
    }

    @Test
    void routeTimeoutEndsHangingRequest() throws IOException {
        int cancelledBefore = mDeployment.plain().cancelledCount();
        mDeployment.plain().enqueueFaults(Fault.HANG);
        long before = Ticker.system().readMillis();
        Response response = call(get("/open/1", ""));
        assertThat(response.status()).isEqualTo(504);
        assertThat(Ticker.system().readMillis() - before).isBetween(450L, 2_000L);
        await().atMost(MAX_WAIT)
                .until(() -> mDeployment.plain().cancelledCount() > cancelledBefore);
    }

    @Test
    void cancelsRequestAtTargetWhenCallerDisconnects() throws IOException {
        useNewDeployment();
        mDeployment.engineA().setEventIntervalMillis(200);
        mDeployment.engineB().setEventIntervalMillis(200);
        try (RawCaller caller = caller()) {
            caller.send(turn("p1", 1_000, 100));
            assertThat(caller.readLine()).contains("200");
        }
        await().atMost(MAX_WAIT)
                .until(
                        () ->
                                mDeployment.engineA().cancelledCount()
                                                + mDeployment.engineB().cancelledCount()
                                        == 1);
    }

    @Test
    void sendsNothingNewToDrainingTarget() throws IOException {
        useNewDeployment();
        TargetStandIn engine = mDeployment.engineA();
        mDeployment.store().register(engine.id(), engine.row("engines", "zone-a", "draining"));
        await().atMost(MAX_WAIT)
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
    void toleratesMalformedRowsInTargetTable() throws IOException {
        useNewDeployment();
        mDeployment.store().register("foreign", "{\"service\":5}");
        mDeployment.store().register("garbage", "not json");
        assertThat(call(get("/read/1", "")).status()).isEqualTo(200);
    }

    @Test
    void readsSnapshotAfterStoreLosesHistory() {
        mDeployment.store().rows().discardHistory();
        mDeployment.configure("key-2", 1_000);
        mDeployment.store().rows().discardHistory();
        await().atMost(MAX_WAIT).until(() -> call(get("/read/1", "")).status() == 401);
    }

    // Several gateways, stop and metrics

    @Test
    void directoryListsLiveGateways() throws IOException {
        useNewDeployment();
        mDeployment.addGateway("vm-2");
        await().atMost(MAX_WAIT).untilAsserted(this::assertDirectoryListsBothGateways);
    }

    private void assertDirectoryListsBothGateways() throws IOException {
        assertThat(directory())
                .contains(mSettings.text(Setting.CALLER_ADDRESS))
                .contains(mDeployment.settings(1).text(Setting.CALLER_ADDRESS));
    }

    private String directory() throws IOException {
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.DIRECTORY_ADDRESS))) {
            return caller.call("GET /api/resolve?name=h&zone=zone-a HTTP/1.1\r\nHost: x\r\n\r\n")
                    .body();
        }
    }

    /** Guards against callers that a leaving gateway directs to itself. */
    @Test
    void directoryOfLeavingGatewayNamesOnlyOthers() throws IOException {
        useNewDeployment();
        mDeployment.addGateway("vm-2");
        try {
            await().atMost(MAX_WAIT).untilAsserted(this::assertDirectoryListsBothGateways);
            mDeployment.gateways().get(0).leave(Ticker.system().readMillis());
            for (int i = 0; i < 20; i++) {
                assertThat(directory())
                        .contains(mDeployment.settings(1).text(Setting.CALLER_ADDRESS))
                        .doesNotContain(mSettings.text(Setting.CALLER_ADDRESS));
            }
        } finally {
            useNewDeployment();
        }
    }

    @Test
    void leavingGatewayCompletesCallsAndClosesConnections() throws Exception {
        useNewDeployment();
        mDeployment.engineA().setEventIntervalMillis(150);
        mDeployment.engineB().setEventIntervalMillis(150);
        try (RawCaller caller = caller()) {
            caller.send(turn("p1", 1_000, 100));
            await().atMost(MAX_WAIT).until(() -> engineRuns().size() == 1);
            Gateway gateway = mDeployment.gateways().get(0);
            gateway.leave(Ticker.system().readMillis());
            await().atMost(MAX_WAIT).until(() -> readinessStatus() == 503);
            Response late = call(get("/read/late", ""));
            assertThat(late.status()).isEqualTo(200);
            assertThat(late.headers()).containsEntry("connection", "close");
            CompletableFuture<Boolean> stopped =
                    CompletableFuture.supplyAsync(() -> gateway.stop(5_000));
            assertThat(caller.readResponse().body())
                    .isEqualTo(events(1, TargetStandIn.EVENT_COUNT));
            assertThat(stopped.join()).isTrue();
        } finally {
            useNewDeployment();
        }
    }

    @Test
    void metricsCountCallsAndErrors() throws IOException {
        useNewDeployment();
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
