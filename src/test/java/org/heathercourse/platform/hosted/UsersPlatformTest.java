package org.heathercourse.platform.hosted;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.core.target.Target;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.entry.CallFacts;
import org.heathercourse.platform.entry.CallFormat;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.entry.Dispatch;
import org.heathercourse.platform.entry.EntryFormat;
import org.heathercourse.platform.rows.ChangesExpiredException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoreChannel;
import org.heathercourse.platform.rows.StoredRow;
import org.junit.jupiter.api.Test;

/**
 * Guards against headers, rows and store calls of the platform that are decoded or encoded wrongly.
 */
class UsersPlatformTest {
    private final UsersPlatform mPlatform = new UsersPlatform();
    private final CallFormat mCalls = mPlatform.callFormat();
    private final DeclaredRows mRows = mPlatform.declaredRows();
    private final EntryFormat mEntry = mPlatform.entryFormat();

    private static StoredRow row(String table, String key, String json) {
        byte[] value = json.getBytes(StandardCharsets.UTF_8);
        return new StoredRow(new RowKey(table, "", key), value, 3);
    }

    // Headers

    @Test
    void readsCallerHeaders() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("X-Heathercourse-Request-Id", "r1")
                .set("Api-Key", "secret")
                .set("X-Heathercourse-Request-Deadline", "1200")
                .set("X-Heathercourse-Program-Id", "p1")
                .set("X-Heathercourse-Token-Budget", "2304")
                .set("X-Heathercourse-Token-Usage", "1840,288");
        CallFacts facts = mCalls.read(headers);
        assertThat(facts.requestId()).isEqualTo("r1");
        assertThat(facts.key()).isEqualTo("secret");
        assertThat(facts.deadlineMillis()).hasValue(1200);
        assertThat(facts.budgetTokens()).hasValue(2304);
        assertThat(facts.promptTokens()).isEqualTo(1840);
        assertThat(facts.maxOutputTokens()).isEqualTo(288);
        assertThat(facts.toString()).doesNotContain("secret");
    }

    @Test
    void malformedNumbersCountAsAbsent() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("X-Heathercourse-Request-Deadline", "soon")
                .set("X-Heathercourse-Token-Usage", "many");
        assertThat(mCalls.read(headers).deadlineMillis()).isEmpty();
        assertThat(mCalls.read(headers).maxOutputTokens()).isZero();
    }

    @Test
    void removesKeyAndReservedHeaders() {
        HttpHeaders headers = new DefaultHttpHeaders();
        List<String> forged =
                List.of(
                        "Api-Key",
                        "X-Heathercourse-Tenant",
                        "x-heathercourse-expected-instance",
                        "X-Heathercourse-Hold",
                        "X-Heathercourse-Pin-Duration",
                        "X-Heathercourse-Kv-Backup",
                        "Kv-From",
                        "Kv-Fetch");
        forged.forEach(name -> headers.set(name, "forged"));
        headers.set("X-Other", "kept");
        mCalls.removeReserved(headers);
        assertThat(headers.names()).containsExactly("X-Other");
    }

    @Test
    void writesDispatchHeaders() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Last-Event-Id", "3");
        mCalls.write(headers, new Dispatch("i-1", "mill", 900, 2, null));
        assertThat(headers.get("X-Heathercourse-Expected-Instance")).isEqualTo("i-1");
        assertThat(headers.get("X-Heathercourse-Tenant")).isEqualTo("mill");
        assertThat(headers.get("X-Heathercourse-Request-Deadline")).isEqualTo("900");
        assertThat(headers.get("Last-Event-Id")).isEqualTo("3");
        mCalls.write(headers, new Dispatch("i-1", "mill", 900, 2, "7"));
        assertThat(headers.get("Last-Event-Id")).isEqualTo("7");
    }

    @Test
    void onlyTargetResponseProvesThatRequestDidNotRun() {
        HttpHeaders headers = new DefaultHttpHeaders();
        assertThat(mCalls.readAnswer(503, headers).notRun()).isFalse();
        assertThat(mCalls.readAnswer(421, headers).notRun()).isTrue();
        headers.set("X-Heathercourse-Not-Executed", "1");
        assertThat(mCalls.readAnswer(503, headers).notRun()).isTrue();
    }

    /** Guards against a head of two responses that is taken for one of them. */
    @Test
    void repeatedIdentityOrSignatureIsAmbiguous() {
        for (String name :
                List.of("X-Heathercourse-Request-Id", "X-Heathercourse-Response-Signature")) {
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.add(name, "a");
            assertThat(mCalls.readAnswer(200, headers).ambiguous()).as(name).isFalse();
            headers.add(name, "b");
            assertThat(mCalls.readAnswer(200, headers).ambiguous()).as(name).isTrue();
        }
    }

    /** Guards against a failure that is skipped as one to another request. */
    @Test
    void emptyRequestIdCountsAsMissing() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("X-Heathercourse-Request-Id", "");
        assertThat(mCalls.readAnswer(500, headers).requestId()).isNull();
    }

    // Rows of operators and targets

    @Test
    void readsConfiguration() {
        RoutingTable table =
                mRows.routingTable(
                        row(
                                "op",
                                "config",
                                "{\"version\":7,\"unknown\":1,\"routes\":[{\"name\":\"r\","
                                        + "\"host\":\"h\",\"prefix\":\"/a/\","
                                        + "\"type\":\"streaming\","
                                        + "\"timeout_ms\":4000,\"priority\":1,\"attempts\":2,"
                                        + "\"resumable\":true,\"traffic_split\":["
                                        + "{\"service\":\"s\",\"weight\":90},"
                                        + "{\"service\":\"t\",\"weight\":10}]},"
                                        + "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/b/\","
                                        + "\"type\":\"strange\",\"service\":\"s\","
                                        + "\"public\":true}],"
                                        + "\"services\":[{\"name\":\"s\",\"connection_limit\":160,"
                                        + "\"engine\":{\"stride\":9}}],"
                                        + "\"limits\":{\"max_body_bytes\":10},"
                                        + "\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"],"
                                        + "\"requests_per_s\":40,\"burst\":20}]}"));
        assertThat(table.version()).isEqualTo(7);
        Route route = table.route("h", "/a/1").orElseThrow();
        assertThat(route.kind()).isEqualTo(RouteKind.STREAMING);
        assertThat(route.repeatable()).isTrue();
        assertThat(route.selectService(0.95)).isEqualTo("t");
        Route strange = table.route("h", "/b/1").orElseThrow();
        assertThat(strange.kind()).isEqualTo(RouteKind.NON_IDEMPOTENT);
        assertThat(strange.allowsAnonymous()).isTrue();
        assertThat(table.service("s").orElseThrow().tokensPerEvent()).isEqualTo(9);
        assertThat(table.limits().maxBodyBytes()).isEqualTo(10);
        assertThat(table.limits().idleTimeoutMillis()).isEqualTo(15_000);
        Workspace workspace = table.workspaceByKey("k").orElseThrow();
        assertThat(workspace.ratePerSecond()).isEqualTo(40);
        assertThat(workspace.priority()).isEmpty();
    }

    private boolean requiresKey(String workspacesMember) {
        RoutingTable table =
                mRows.routingTable(
                        row(
                                "op",
                                "config",
                                "{\"version\":8,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                                        + "\"prefix\":\"/\",\"service\":\"s\"}]"
                                        + workspacesMember
                                        + "}"));
        assertThat(table.workspaces()).isEmpty();
        return table.requiresKey(table.route("h", "/").orElseThrow());
    }

    /** Guards against a list without workspaces, or a field of another type, read as no field. */
    @Test
    void configurationWithTheFieldOfWorkspacesRequiresKeys() {
        for (String value : List.of("[]", "{}", "{\"a\":{\"name\":\"a\"}}", "null", "0", "\"\"")) {
            assertThat(requiresKey(",\"tenants\":" + value)).as(value).isTrue();
        }
        assertThat(requiresKey("")).isFalse();
    }

    /** Returns the table of a configuration with one route and one workspace. */
    private RoutingTable tableWith(String routeMember, String workspaceMember) {
        return mRows.routingTable(
                row(
                        "op",
                        "config",
                        "{\"version\":8,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                                + "\"prefix\":\"/\",\"service\":\"s\""
                                + routeMember
                                + "}],\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]"
                                + workspaceMember
                                + "}]}"));
    }

    /** Guards against a route that a value of another type opens to all. */
    @Test
    void onlyTrueMakesRoutePublic() {
        for (String value : List.of("false", "null", "1", "\"true\"", "\"false\"", "[]", "{}")) {
            RoutingTable table = tableWith(",\"public\":" + value, "");
            assertThat(table.requiresKey(table.route("h", "/").orElseThrow())).as(value).isTrue();
        }
        RoutingTable table = tableWith(",\"public\":true", "");
        assertThat(table.requiresKey(table.route("h", "/").orElseThrow())).isFalse();
    }

    /** Guards against a rate that cannot be read and is taken for no limit. */
    @Test
    void workspaceWithUnreadableRateHasNoValidKey() {
        for (String value : List.of("\"many\"", "\"190\"", "-1", "{}", "[]", "true")) {
            for (String field : List.of("requests_per_s", "burst")) {
                String member = ",\"" + field + "\":" + value;
                RoutingTable table = tableWith("", member);
                assertThat(table.workspaceByKey("k")).as(member).isEmpty();
            }
        }
        for (String value : List.of("0", "null", "0.5", "1e3")) {
            RoutingTable table = tableWith("", ",\"requests_per_s\":" + value);
            assertThat(table.workspaceByKey("k")).as(value).isPresent();
        }
    }

    @Test
    void invalidConfigurationIsRejectedWithRemedy() {
        assertThatThrownBy(() -> mRows.routingTable(row("op", "config", "[1]")))
                .isInstanceOfSatisfying(
                        HeathercourseException.class,
                        e -> assertThat(e.remedy()).contains("valid configuration"));
    }

    private Optional<Target> target(String json) {
        return mRows.target(row("servers", "i-1", json));
    }

    @Test
    void readsTarget() {
        Target target =
                target(
                                "{\"service\":\"s\",\"address\":\"10.1.2.3:8080\",\"zone\":\"z\","
                                        + "\"slots\":16,\"state\":\"draining\",\"born\":17}")
                        .orElseThrow();
        assertThat(target.id()).isEqualTo("i-1");
        assertThat(target.address()).isEqualTo("10.1.2.3:8080");
        assertThat(target.leaving()).isTrue();
        assertThat(target.startedMillis()).isEqualTo(17);
    }

    @Test
    void invalidTargetRowsAreIgnored() {
        assertThat(target("not json")).isEmpty();
        assertThat(target("{}")).isEmpty();
        assertThat(target("")).isEmpty();
        String entry =
                "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":%s,"
                        + "\"state\":\"%s\"}";
        assertThat(target(String.format(entry, "10.1.2.3:80", "16", "ready"))).isPresent();
        assertThat(target(String.format(entry, "10.1.2.3", "16", "ready"))).isEmpty();
        assertThat(target(String.format(entry, "10.1.2.3:x", "16", "ready"))).isEmpty();
        assertThat(target(String.format(entry, "10.1.2.3:80", "\"16\"", "ready"))).isEmpty();
        assertThat(target(String.format(entry, "10.1.2.3:80", "16", "odd"))).isEmpty();
    }

    /** Guards against entries of other writers that end the process or take its requests. */
    @Test
    void targetRowsWithValuesOutOfRangeAreIgnored() {
        for (String address :
                List.of(
                        "10.1.2.3:0",
                        "10.1.2.3:-1",
                        "10.1.2.3:65536",
                        "10.1.2.3:70000",
                        "10.1.2.3:99999999999",
                        "10.1.2.3:80 ",
                        ":80",
                        "10.1.2.300:80",
                        "0.0.0.0:80",
                        "224.0.0.1:80",
                        "no-such-host.example:80")) {
            assertThat(target(entry(address, "16", "17"))).as(address).isEmpty();
        }
        for (String slots : List.of("0", "-1", "1.5", "1e3", "2147483648", "9".repeat(20))) {
            assertThat(target(entry("10.1.2.3:80", slots, "17"))).as(slots).isEmpty();
        }
        for (String born : List.of("-1", "1.5", "\"17\"", "null", "[]", "9".repeat(2_000))) {
            assertThat(target(entry("10.1.2.3:80", "16", born))).as(born).isEmpty();
        }
        assertThat(target(entry("10.1.2.3:65535", "16", "0"))).isPresent();
    }

    private static String entry(String address, String slots, String born) {
        return String.format(
                "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":%s,"
                        + "\"state\":\"ready\",\"born\":%s}",
                address, slots, born);
    }

    /** Guards against identities that no header can carry, which broke each request to them. */
    @Test
    void targetRowsWithUnsendableIdentityAreIgnored() {
        String json = entry("10.1.2.3:80", "16", "17");
        for (String id : List.of("", "i 1", "i-1\r\nX-Injected: 1", "i-\u0000", "i-\u00e9")) {
            assertThat(mRows.target(row("servers", id, json))).as(id).isEmpty();
        }
        assertThat(mRows.target(row("servers", "i-1", json))).isPresent();
    }

    /** Guards against a stack overflow or a failed read through deeply nested content. */
    @Test
    void deeplyNestedTargetRowsDoNotFail() {
        String rest = entry("10.1.2.3:80", "16", "17").substring(1);
        for (int depth : List.of(900, 5_000, 30_000)) {
            String nested = "[".repeat(depth) + "]".repeat(depth);
            assertThat(target(nested)).isEmpty();
            assertThatCode(() -> target("{\"unknown\":" + nested + "," + rest))
                    .doesNotThrowAnyException();
        }
    }

    // Address queries and readiness checks

    @Test
    void parsesQueriesAndEncodesAddresses() {
        assertThat(mEntry.parseAddressQuery("/api/resolve?name=h&region=r&zone=z-1"))
                .contains(new EntryFormat.AddressQuery("z-1"));
        assertThat(mEntry.parseAddressQuery("/api/other?zone=z-1")).isEmpty();
        assertThat(mEntry.isReadinessCheck("/api/readiness")).isTrue();
        assertThat(new String(mEntry.encodeAddresses(List.of("a:1", "b:2"), 2)))
                .isEqualTo("{\"addresses\":[\"a:1\",\"b:2\"],\"ttl_s\":2}");
    }

    // Store calls

    private final List<StoreChannel.Request> mSentRequests = new ArrayList<>();
    private StoreChannel.Reply mReply;
    private final RowStore mStore =
            mPlatform.rowStore(
                    (request, timeout) -> {
                        mSentRequests.add(request);
                        return CompletableFuture.completedFuture(mReply);
                    });

    private void reply(int status, String body) {
        mReply = new StoreChannel.Reply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void writesTransaction() {
        reply(200, "{\"row_version\":412}");
        RowTransaction transaction =
                RowTransaction.builder()
                        .put(new RowKey("t", "p", "a"), 0, "node-1".getBytes())
                        .put(new RowKey("t", "p", "b"), RowTransaction.ANY_VERSION, new byte[0])
                        .remove(new RowKey("t", "p", "c"), 9)
                        .build();
        RowCommit commit = mStore.commit(transaction).join();
        assertThat(commit.committed()).isTrue();
        assertThat(commit.version()).isEqualTo(412);
        assertThat(new String(mSentRequests.get(0).body()))
                .isEqualTo(
                        "{\"expected\":[{\"table\":\"t\",\"part\":\"p\",\"key\":\"a\","
                                + "\"row_version\":0},{\"table\":\"t\",\"part\":\"p\","
                                + "\"key\":\"c\","
                                + "\"row_version\":9}],\"puts\":[{\"table\":\"t\",\"part\":\"p\","
                                + "\"key\":\"a\",\"value\":\"bm9kZS0x\"},{\"table\":\"t\","
                                + "\"part\":\"p\",\"key\":\"b\",\"value\":\"\"}],"
                                + "\"remove\":[{\"table\":\"t\",\"part\":\"p\",\"key\":\"c\"}]}");
    }

    @Test
    void conflictReturnsCurrentRows() {
        reply(
                412,
                "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\",\"value\":\"bm9kZS0x\","
                        + "\"row_version\":5}]}");
        RowCommit commit =
                mStore.commit(RowTransaction.put(new RowKey("t", "", "a"), 4, new byte[0])).join();
        assertThat(commit.committed()).isFalse();
        assertThat(commit.currentRows().get(0).version()).isEqualTo(5);
        assertThat(new String(commit.currentRows().get(0).value())).isEqualTo("node-1");
    }

    @Test
    void removedRowsInChangesDoNotExist() {
        reply(
                200,
                "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\",\"removed\":true,"
                        + "\"row_version\":5}],\"row_version\":9}");
        var page = mStore.changes("t", 3, 100).join();
        assertThat(page.rows().get(0).exists()).isFalse();
        assertThat(page.storeVersion()).isEqualTo(9);
        assertThat(mSentRequests.get(0).uri())
                .isEqualTo("/api/rows-feed?table=t&after=3&wait_ms=100");
    }

    /** Guards against a row that counts as absent because the reply is that of another call. */
    @Test
    void replyWithoutRowsIsFailure() {
        reply(200, "{\"row_version\":9}");
        assertThat(failure(mStore.read(new RowKey("t", "", "a"))))
                .isInstanceOf(StoreException.class);
        assertThat(failure(mStore.read("t", "", ""))).isInstanceOf(StoreException.class);
        reply(200, "{\"rows\":[],\"row_version\":9}");
        assertThat(mStore.read(new RowKey("t", "", "a")).join().exists()).isFalse();
    }

    private Throwable failure(CompletableFuture<?> call) {
        try {
            call.join();
            return null;
        } catch (CompletionException e) {
            return e.getCause();
        }
    }

    @Test
    void failuresTellWhetherCommitMayHaveTakenEffect() {
        RowTransaction write = RowTransaction.put(new RowKey("t", "", "a"), 4, new byte[0]);
        reply(503, "");
        assertThat(failure(mStore.commit(write)))
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.outcomeUnknown()).isFalse());
        reply(500, "");
        assertThat(failure(mStore.commit(write)))
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.outcomeUnknown()).isTrue());
        reply(200, "no json");
        assertThat(failure(mStore.commit(write))).isInstanceOf(StoreException.class);
        reply(410, "{}");
        assertThat(failure(mStore.changes("t", 3, 0))).isInstanceOf(ChangesExpiredException.class);
    }

    // Zones

    /** Guards against rows of another kind, or in disorder, that evacuate a zone. */
    @Test
    void readsRowsThatEvacuateZones() {
        StoredRow evacuation = row("op", "evacuate/zone-a", "{}");
        assertThat(mRows.evacuatedZone(evacuation.key()).get().value()).isEqualTo("zone-a");
        assertThat(mRows.isEvacuation(evacuation)).isTrue();
        for (String value : List.of("", "{", "[]", "null", "1")) {
            assertThat(mRows.isEvacuation(row("op", "evacuate/zone-a", value))).isFalse();
        }
        for (String key : List.of("config", "evacuate/", "evacuate/no zone", "evacuate")) {
            assertThat(mRows.evacuatedZone(row("op", key, "{}").key())).isEmpty();
        }
        assertThat(mRows.evacuatedZone(new RowKey("op", "p", "evacuate/zone-a"))).isEmpty();
        assertThat(mRows.evacuatedZone(new RowKey("servers", "", "evacuate/zone-a"))).isEmpty();
    }

    /**
     * Guards against cold targets that count as warm, and against odd values that hide a target.
     */
    @Test
    void readsForHowLongTargetIsCold() {
        String start =
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,"
                        + "\"state\":\"ready\"";
        assertThat(coldMillis(start + ",\"cold_remaining_ms\":30000}")).isEqualTo(30_000);
        assertThat(coldMillis(start + ",\"cold_remaining_ms\":1500.5}")).isEqualTo(1_500);
        assertThat(coldMillis(start + "}")).isZero();
        for (String odd : List.of("-5", "\"soon\"", "null", "{}")) {
            assertThat(coldMillis(start + ",\"cold_remaining_ms\":" + odd + "}")).isZero();
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        assertThat(mCalls.readAnswer(200, headers).coldRemainingMillis()).isZero();
        headers.set("X-Heathercourse-Cold-Start-Remaining", "12000");
        assertThat(mCalls.readAnswer(200, headers).coldRemainingMillis()).isEqualTo(12_000);
    }

    private long coldMillis(String json) {
        return mRows.target(row("servers", "t", json)).get().coldRemainingMillis();
    }

    /** Guards against services without a bound that get one. */
    @Test
    void readsRateOfColdTargets() {
        RoutingTable table =
                mRows.routingTable(
                        row(
                                "op",
                                "config",
                                "{\"services\":[{\"name\":\"a\",\"cold_per_s\":25,"
                                        + "\"cold_start_s\":1.5},{\"name\":\"b\"}]}"));
        assertThat(table.service("a").get().coldPerSecond()).isEqualTo(25);
        assertThat(table.service("a").get().coldStartMillis()).isEqualTo(1_500);
        assertThat(table.service("b").get().coldPerSecond()).isZero();
        assertThat(table.service("b").get().coldStartMillis()).isZero();
    }

    /** Guards against tables of zones in another form that bind no region, or end the gateway. */
    @Test
    void readsRegionsOfZones() {
        Zone zone = new Zone("a");
        for (String table :
                List.of(
                        "{\"a\":\"north\"}",
                        "{\"a\":{\"region\":\"north\",\"rtt_ms\":3}}",
                        "[{\"name\":\"a\",\"region\":\"north\"}]")) {
            assertThat(mPlatform.zoneRegions(table)).containsExactly(Map.entry(zone, "north"));
        }
        for (String table :
                List.of("", "{}", "null", "{{zones|json}}", "{\"a\":3}", "{\"a b\":\"x\"}", "7")) {
            assertThat(mPlatform.zoneRegions(table)).isEmpty();
        }
    }
}
