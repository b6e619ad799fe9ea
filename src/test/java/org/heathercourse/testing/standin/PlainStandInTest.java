package org.heathercourse.testing.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.platform.http.HttpPlainClient;
import org.heathercourse.testing.proxy.FaultProxy;
import org.heathercourse.testing.proxy.ProxyFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the plain adapter against the plain stand-in, the control port and the proxy. */
class PlainStandInTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Fixture mFixture = new Fixture(EngineSettings.DEFAULT);
    private final StandIns mStandIns = mFixture.mStandIns;
    private final HttpPlainClient mPlain = new HttpPlainClient(mFixture.mTransport);

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against a duplicate effect of a non-idempotent request that is not counted. */
    @Test
    void duplicateEffectIsCounted() throws Exception {
        TargetAddress target = mFixture.target("plain-1");
        assertThat(json(target, "/orders/7", "r1").path("request_id").asText()).isEqualTo("r1");
        json(target, "/stock", "r1");
        json(target, "/stock", "r1");
        assertThat(mStandIns.stat("duplicate_side_effects")).isZero();
        assertThat(json(target, "/orders/7", "r1").path("effect").asLong()).isEqualTo(4);
        assertThat(mStandIns.stat("duplicate_side_effects")).isEqualTo(1);
        mStandIns.setFault("plain-1", Fault.LOSE_REPLY, 1, 1);
        assertThat(failureOf(target, "/invoices", "r2")).isEqualTo(TargetFailure.Kind.BROKEN);
        assertThat(mStandIns.stat("effects")).isEqualTo(5);
        assertThat(failureOf(target, "/hang", "r3", Fixture.SHORT_MILLIS))
                .isEqualTo(TargetFailure.Kind.TIMEOUT);
        assertThat(json(target, "/sleep?ms=5", null).path("effect").asLong()).isZero();
        JsonNode arrivals = control("GET", "/arrivals?since=5", "").path("arrivals");
        assertThat(arrivals.findValuesAsText("path")).containsExactly("/hang", "/sleep");
        assertThat(control("GET", "/effects", "").path("effects")).hasSize(6);
    }

    /** Guards against bodies that change in transit, and against forwarded hop-by-hop headers. */
    @Test
    void bodiesAreStreamedAndHopByHopHeadersDropped() throws Exception {
        byte[] body = new byte[3_000_000];
        new SplittableRandom(7).nextBytes(body);
        for (long length : new long[] {body.length, -1}) {
            try (PlainClient.Response response =
                    mPlain.send(
                            mFixture.target("plain-1"),
                            new PlainClient.Request(
                                    "POST",
                                    "/echo",
                                    Map.of(
                                            "Connection", List.of("close, X-Hop"),
                                            "X-Hop", List.of("hc_secret")),
                                    new ByteArrayInputStream(body),
                                    length,
                                    10_000))) {
                assertThat(response.body().readAllBytes()).as("seed 7").isEqualTo(body);
                assertThat(response.headers()).doesNotContainKey("transfer-encoding");
            }
        }
        assertThat(mStandIns.stat("leaked_keys")).isZero();
    }

    /** Guards against a key in the URI, a header or the body that is not counted as leaked. */
    @Test
    void leakedKeysAreCounted() throws Exception {
        TargetAddress target = mFixture.target("plain-1");
        json(target, "/a?k=hc%5Fabc", null);
        json(target, "/a?k=hc_abc", null);
        json(target, "/a", "hc_abc");
        send(target, "/a", null, "{\"k\":\"hc_abc\"}").close();
        assertThat(mStandIns.stat("leaked_keys")).isEqualTo(4);
    }

    /** Guards against a retry by the HTTP library after status 503 with Retry-After: 0. */
    @Test
    void unavailableServiceReceivesRequestOnce() throws Exception {
        mStandIns.setFault("plain-1", Fault.REFUSE, 1, 1);
        try (PlainClient.Response response =
                send(mFixture.target("plain-1"), "/orders", "r1", "")) {
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.headers()).containsEntry("retry-after", List.of("0"));
        }
        assertThat(mStandIns.stat("arrivals")).isEqualTo(1);
    }

    /** Guards against control requests without effect. */
    @Test
    void faultsAreSetThroughControlPort() throws Exception {
        control("POST", "/faults", "{\"part\":\"plain-1\",\"fault\":\"refuse\"}");
        assertThat(failureOf(mFixture.target("plain-1"), "/orders", "r1"))
                .isEqualTo(TargetFailure.Kind.NOT_SENT);
        control("DELETE", "/faults", "");
        json(mFixture.target("plain-1"), "/orders", "r1");
        assertThat(control("GET", "/stats", "").path("effects").asLong()).isEqualTo(1);
        assertThat(control("POST", "/faults", "{\"part\":\"nobody\",\"fault\":\"refuse\"}"))
                .isNotEmpty();
    }

    /** Guards against a proxy that reorders bytes or does not inject its faults. */
    @Test
    void proxyInjectsFaults() throws Exception {
        FaultProxy proxy =
                mStandIns.openProxy("link", 0, URI.create(mStandIns.baseUrl("plain-1")).getPort());
        TargetAddress target =
                new TargetAddress(new TargetId("link"), "http://127.0.0.1:" + proxy.port());
        proxy.setFaults(ProxyFaults.NONE.withDelay(1, 3).withStalls(0.1, 10));
        byte[] body = new byte[300_000];
        new SplittableRandom(8).nextBytes(body);
        try (PlainClient.Response echo =
                send(target, "/echo", null, new String(body, StandardCharsets.ISO_8859_1))) {
            assertThat(new String(echo.body().readAllBytes(), StandardCharsets.UTF_8))
                    .as("seed 8")
                    .isEqualTo(new String(body, StandardCharsets.ISO_8859_1));
        }
        control("POST", "/proxies/link", "{\"lose_replies\":1}");
        assertThat(failureOf(target, "/orders", "r1")).isEqualTo(TargetFailure.Kind.BROKEN);
        assertThat(mStandIns.stat("effects")).isEqualTo(1);
        proxy.setFaults(ProxyFaults.NONE.withHalfOpen(ProxyFaults.HalfOpen.TO_CLIENT));
        assertThat(failureOf(target, "/orders", "r2", Fixture.SHORT_MILLIS))
                .isEqualTo(TargetFailure.Kind.TIMEOUT);
        await().until(() -> mStandIns.stat("effects") == 2);
        proxy.setFaults(ProxyFaults.NONE.withHalfOpen(ProxyFaults.HalfOpen.TO_TARGET));
        assertThat(failureOf(target, "/orders", "r3", Fixture.SHORT_MILLIS))
                .isEqualTo(TargetFailure.Kind.TIMEOUT);
        proxy.setFaults(ProxyFaults.NONE.withCut(true));
        assertThat(failureOf(target, "/orders", "r4"))
                .isIn(TargetFailure.Kind.BROKEN, TargetFailure.Kind.NOT_SENT);
        assertThat(mStandIns.stat("effects")).isEqualTo(2);
    }

    private JsonNode json(TargetAddress target, String path, String requestId) throws Exception {
        try (PlainClient.Response response = send(target, path, requestId, "x")) {
            return JSON.readTree(response.body());
        }
    }

    private TargetFailure.Kind failureOf(TargetAddress target, String path, String requestId) {
        return failureOf(target, path, requestId, 10_000);
    }

    private TargetFailure.Kind failureOf(
            TargetAddress target, String path, String requestId, long timeoutMillis) {
        return catchThrowableOfType(
                        TargetException.class,
                        () -> send(target, path, requestId, "", timeoutMillis).close())
                .failure()
                .kind();
    }

    private PlainClient.Response send(
            TargetAddress target, String path, String requestId, String body) {
        return send(target, path, requestId, body, 10_000);
    }

    private PlainClient.Response send(
            TargetAddress target, String path, String requestId, String body, long timeoutMillis) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        InputStream input = bytes.length == 0 ? null : new ByteArrayInputStream(bytes);
        Map<String, List<String>> headers =
                requestId == null
                        ? Map.of()
                        : Map.of(
                                "X-Request-Id", List.of(requestId),
                                "X-Program-Id", List.of("p1"));
        return mPlain.send(
                target,
                new PlainClient.Request("POST", path, headers, input, bytes.length, timeoutMillis));
    }

    private JsonNode control(String method, String path, String body) throws Exception {
        HttpResponse<String> response =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create(mStandIns.controlUrl() + path))
                                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
        return JSON.readTree(response.body());
    }
}
