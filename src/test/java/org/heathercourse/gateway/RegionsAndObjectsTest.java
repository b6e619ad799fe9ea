package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that leave the regions of their route or workspace, and against requests
 * for one object that go to several targets.
 */
class RegionsAndObjectsTest {
    private static final int REQUEST_COUNT = 20;
    private static final String COOKIE = "Cookie: X-Heathercourse-Affinity-Key=object-1\r\n";

    private static HostedDeployment sDeployment;
    private static Settings sSettings;
    private static int sRequestCount;
    private static long sVersion;

    private static String route(String name, String type, String more) {
        return String.format(
                "{\"name\":\"%1$s\",\"host\":\"%2$s\",\"prefix\":\"/%1$s/\",\"type\":\"%3$s\","
                        + "\"attempts\":2,\"timeout_ms\":2000,\"service\":\"engines\"%4$s}",
                name, HostedDeployment.HOST, type, more);
    }

    private static void configure(long version, String workspaceRegions) {
        sVersion = version;
        String regions = ",\"allowed_regions\":[\"%s\"]";
        List<String> routes =
                List.of(
                        route("any", "idempotent", ""),
                        route("north", "idempotent", String.format(regions, "north")),
                        route("nowhere", "idempotent", String.format(regions, "nowhere")),
                        route("objects", "idempotent", ",\"session_affinity\":true"),
                        route("stream", "streaming", ",\"session_affinity\":true"));
        sDeployment
                .store()
                .configure(
                        String.format(
                                "{\"version\":%d,\"routes\":%s,"
                                        + "\"services\":[{\"name\":\"engines\"}],"
                                        + "\"tenants\":[{\"name\":\"mill\","
                                        + "\"api_keys\":[\"%s\"]%s}]}",
                                version, routes, HostedDeployment.KEY, workspaceRegions));
        await().atMost(GatewayFixture.MAX_WAIT)
                .ignoreExceptions()
                .until(() -> metrics().contains("configuration_version " + version + "\n"));
    }

    @BeforeAll
    static void start() {
        sDeployment = new HostedDeployment();
        sSettings =
                sDeployment.addGateway(
                        "vm-1",
                        Map.of(
                                Setting.ZONES,
                                "{\"zone-a\":{\"region\":\"north\"},"
                                        + "\"zone-b\":{\"region\":\"south\"}}"));
        await().atMost(GatewayFixture.MAX_WAIT)
                .ignoreExceptions()
                .until(() -> call("/read/1", "").status() == 200);
        configure(100, "");
    }

    @AfterAll
    static void stop() {
        sDeployment.close();
    }

    @BeforeEach
    void resetTargets() {
        registerEngineB("zone-a");
        engines().forEach(engine -> engine.receivedRequests().clear());
    }

    private static List<TargetStandIn> engines() {
        return List.of(sDeployment.engineA(), sDeployment.engineB());
    }

    private static void registerEngineB(String zone) {
        TargetStandIn engine = sDeployment.engineB();
        sDeployment.store().unregister(engine.id());
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> metrics().contains("targets_usable 2\n"));
        sDeployment.store().register(engine.id(), engine.row("engines", zone, "ready"));
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> metrics().contains("targets_usable 3\n"));
    }

    private static String metrics() throws IOException {
        try (RawCaller caller = new RawCaller(sSettings.endpoint(Setting.METRICS_ADDRESS))) {
            return caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
        }
    }

    private static Response call(String path, String headers) throws IOException {
        String request =
                String.format(
                        "GET %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: r%d\r\n"
                                + "X-Heathercourse-Request-Deadline: 1000\r\n%s\r\n",
                        path,
                        HostedDeployment.HOST,
                        HostedDeployment.KEY,
                        ++sRequestCount,
                        headers);
        try (RawCaller caller = new RawCaller(sSettings.endpoint(Setting.CALLER_ADDRESS))) {
            return caller.call(request);
        }
    }

    private static void callAll(String path, String headers) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertThat(call(path, headers).status()).isEqualTo(200);
        }
    }

    private static List<Integer> counts() {
        return engines().stream().map(engine -> engine.receivedRequests().size()).toList();
    }

    /** Guards against requests for an object that are spread like others, and the reverse. */
    @Test
    void requestsForOneObjectGoToOneTarget() throws IOException {
        callAll("/objects/1", COOKIE);
        assertThat(counts()).containsExactlyInAnyOrder(0, REQUEST_COUNT);
        resetTargets();
        callAll("/objects/1", "");
        assertThat(counts()).doesNotContain(0);
        resetTargets();
        callAll("/any/1", COOKIE);
        assertThat(counts()).doesNotContain(0);
        resetTargets();
        callAll("/stream/1", COOKIE);
        assertThat(counts()).doesNotContain(0);
    }

    /** Guards against a route whose requests reach a zone of another region. */
    @Test
    void routeKeepsRequestsInItsRegion() throws IOException {
        registerEngineB("zone-b");
        callAll("/north/1", "");
        assertThat(counts()).containsExactly(REQUEST_COUNT, 0);
    }

    /** Guards against a request that runs in another region rather than not at all. */
    @Test
    void requestIsRejectedIfItsRegionHasNoTarget() throws IOException {
        assertThat(call("/nowhere/1", "").status()).isIn(429, 503);
        assertThat(counts()).containsExactly(0, 0);
    }

    /** Guards against a list from which the last region was taken, read as one of all regions. */
    @Test
    void listWithoutAnyRegionAllowsNone() throws IOException {
        for (String regions : List.of("[]", "null", "\"north\"", "{}", "[1]")) {
            configure(sVersion + 1, ",\"allowed_regions\":" + regions);
            assertThat(call("/any/1", "").status()).as(regions).isIn(429, 503);
            assertThat(counts()).as(regions).containsExactly(0, 0);
        }
        configure(sVersion + 1, "");
    }

    /** Guards against a workspace's regions that a route without any, or with others, undoes. */
    @Test
    void regionsOfWorkspaceBindAsWell() throws IOException {
        registerEngineB("zone-b");
        configure(sVersion + 1, ",\"allowed_regions\":[\"south\"]");
        callAll("/any/1", "");
        assertThat(counts()).containsExactly(0, REQUEST_COUNT);
        assertThat(call("/north/1", "").status()).isIn(429, 503);
        configure(sVersion + 1, "");
    }
}
