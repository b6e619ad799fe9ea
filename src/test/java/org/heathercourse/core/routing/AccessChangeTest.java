package org.heathercourse.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an operator who isn't told that a version opens routes or leaves no key. */
class AccessChangeTest {
    private static RoutingTable.Builder table(boolean isPublic) {
        return RoutingTable.builder(1)
                .route(
                        Route.builder()
                                .name("orders")
                                .services(List.of(new ServiceWeight("office", 1)))
                                .allowsAnonymous(isPublic)
                                .build());
    }

    private static Workspace workspace(Set<String> keys) {
        return new Workspace("mill", keys, OptionalInt.empty(), 0, 0);
    }

    private static final RoutingTable WITH_KEY =
            table(false).workspace(workspace(Set.of("k"))).build();

    @Test
    void namesRoutesThatNeedNoKeyAnyMore() {
        AccessChange madePublic = AccessChange.between(WITH_KEY, table(true).build());
        assertThat(madePublic.openedRoutes()).containsExactly("orders");
        RoutingTable noKeys = table(false).keyPolicy(KeyPolicy.NO_KEYS).build();
        AccessChange withoutKeys = AccessChange.between(WITH_KEY, noKeys);
        assertThat(withoutKeys.openedRoutes()).containsExactly("orders");
        assertThat(withoutKeys.lastKeyRemoved()).isFalse();
        assertThat(AccessChange.between(noKeys, WITH_KEY).openedRoutes()).isEmpty();
        assertThat(AccessChange.between(noKeys, noKeys).openedRoutes()).isEmpty();
    }

    @Test
    void publicRouteThatIsNewOpensNothing() {
        RoutingTable empty = RoutingTable.builder(1).build();
        assertThat(AccessChange.between(empty, table(true).build()).openedRoutes()).isEmpty();
    }

    @Test
    void tellsThatNoKeyIsLeft() {
        RoutingTable noWorkspace = table(false).build();
        RoutingTable noKey = table(false).workspace(workspace(Set.of())).build();
        assertThat(AccessChange.between(WITH_KEY, noWorkspace).lastKeyRemoved()).isTrue();
        assertThat(AccessChange.between(WITH_KEY, noKey).lastKeyRemoved()).isTrue();
        assertThat(AccessChange.between(WITH_KEY, WITH_KEY).lastKeyRemoved()).isFalse();
        assertThat(AccessChange.between(noKey, noWorkspace).lastKeyRemoved()).isFalse();
    }
}
