package org.heathercourse.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are mapped to the wrong service or workspace. */
class RoutingTableTest {
    private static Route route(String name, String host, String prefix) {
        return Route.builder()
                .name(name)
                .host(host)
                .prefix(prefix)
                .services(List.of(new ServiceWeight("s-" + name, 1)))
                .build();
    }

    private static final RoutingTable TABLE =
            RoutingTable.builder(7)
                    .route(route("short", "a.example", "/x/"))
                    .route(route("long", "a.example", "/x/y/"))
                    .route(route("other", "b.example", "/x/"))
                    .workspace(
                            new Workspace("w", Set.of("key-1", "key-2"), OptionalInt.of(3), 10, 5))
                    .build();

    private static String matchedRoute(String host, String uri) {
        return TABLE.route(host, uri).map(Route::name).orElse("none");
    }

    @Test
    void longestPrefixOfHostWins() {
        assertThat(matchedRoute("a.example", "/x/1")).isEqualTo("short");
        assertThat(matchedRoute("a.example", "/x/y/1")).isEqualTo("long");
        assertThat(matchedRoute("b.example", "/x/y/1")).isEqualTo("other");
    }

    @Test
    void prefixMatchesThroughItsTrailingSlash() {
        assertThat(matchedRoute("a.example", "/x")).isEqualTo("none");
        assertThat(matchedRoute("a.example", "/xy/1")).isEqualTo("none");
    }

    @Test
    void hostMatchIgnoresCaseAndPort() {
        assertThat(matchedRoute("A.Example:8080", "/x/1")).isEqualTo("short");
        assertThat(matchedRoute(null, "/x/1")).isEqualTo("none");
    }

    @Test
    void queryIsIgnoredInPathMatch() {
        assertThat(matchedRoute("a.example", "/z/?/x/")).isEqualTo("none");
        assertThat(matchedRoute("a.example", "/x/?q=/x/y/")).isEqualTo("short");
    }

    @Test
    void keysIdentifyWorkspace() {
        assertThat(TABLE.workspaceByKey("key-2")).map(Workspace::name).contains("w");
        assertThat(TABLE.workspaceByKey("key-3")).isEmpty();
        assertThat(TABLE.workspaceByKey(null)).isEmpty();
        assertThat(TABLE.workspaces().toString()).doesNotContain("key-1");
    }

    /** Guards against a table without workspaces that lets everybody in. */
    @Test
    void keysAreRequiredUnlessThePolicySaysOtherwise() {
        Route closed = route("closed", "a.example", "/");
        Route open = Route.builder().services(closed.services()).allowsAnonymous(true).build();
        RoutingTable withoutWorkspaces = RoutingTable.builder(8).build();
        assertThat(withoutWorkspaces.requiresKey(closed)).isTrue();
        assertThat(withoutWorkspaces.requiresKey(open)).isFalse();
        assertThat(TABLE.requiresKey(closed)).isTrue();
        assertThat(TABLE.requiresKey(open)).isFalse();
        RoutingTable withoutKeys = RoutingTable.builder(9).keyPolicy(KeyPolicy.NO_KEYS).build();
        assertThat(withoutKeys.requiresKey(closed)).isFalse();
    }

    @Test
    void weightsSplitRequestsBetweenServices() {
        Route splitRoute =
                Route.builder()
                        .services(List.of(new ServiceWeight("a", 90), new ServiceWeight("b", 10)))
                        .build();
        assertThat(splitRoute.selectService(0)).isEqualTo("a");
        assertThat(splitRoute.selectService(0.899)).isEqualTo("a");
        assertThat(splitRoute.selectService(0.901)).isEqualTo("b");
        assertThat(splitRoute.selectService(0.999)).isEqualTo("b");
    }

    @Test
    void onlyResumableStreamsAndIdempotentRequestsAreRepeatable() {
        assertThat(RouteKind.IDEMPOTENT.repeatable(false)).isTrue();
        assertThat(RouteKind.NON_IDEMPOTENT.repeatable(true)).isFalse();
        assertThat(RouteKind.STREAMING.repeatable(false)).isFalse();
        assertThat(RouteKind.STREAMING.repeatable(true)).isTrue();
    }
}
