package org.heathercourse.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a key, or the lack of one, that is accepted after the configuration changed. */
class KeyVerdictTest {
    private static final Route CLOSED = route(false);
    private static final Route PUBLIC = route(true);
    private static final Workspace MILL = workspace("mill", "k");
    private static final RoutingTable TABLE = RoutingTable.builder(1).workspace(MILL).build();
    private static final RoutingTable NOBODY = RoutingTable.builder(2).build();

    private static Route route(boolean isPublic) {
        return Route.builder()
                .services(List.of(new ServiceWeight("s", 1)))
                .allowsAnonymous(isPublic)
                .build();
    }

    private static Workspace workspace(String name, String key) {
        return new Workspace(name, Set.of(key), OptionalInt.empty(), 0, 0);
    }

    @Test
    void keyIsNeededUnlessRouteIsPublic() {
        assertThat(KeyVerdict.of(TABLE, CLOSED, "k", true)).isEqualTo(KeyVerdict.VALID);
        assertThat(KeyVerdict.of(TABLE, CLOSED, "other", true)).isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.of(TABLE, CLOSED, null, true)).isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.of(NOBODY, CLOSED, "k", true)).isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.of(NOBODY, PUBLIC, null, true)).isEqualTo(KeyVerdict.NOT_NEEDED);
    }

    @Test
    void staleConfigurationTellsNothingAboutKeys() {
        assertThat(KeyVerdict.of(TABLE, CLOSED, "k", false)).isEqualTo(KeyVerdict.UNCERTAIN);
        assertThat(KeyVerdict.of(TABLE, CLOSED, "other", false)).isEqualTo(KeyVerdict.UNCERTAIN);
        assertThat(KeyVerdict.of(TABLE, PUBLIC, null, false)).isEqualTo(KeyVerdict.NOT_NEEDED);
    }

    @Test
    void requestThatHasWaitedIsCheckedByTheConfigurationInForce() {
        assertThat(KeyVerdict.ofWaiting(TABLE, CLOSED, "k", true, MILL))
                .isEqualTo(KeyVerdict.VALID);
        assertThat(KeyVerdict.ofWaiting(NOBODY, CLOSED, "k", true, MILL))
                .isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.ofWaiting(TABLE, CLOSED, "k", false, MILL))
                .isEqualTo(KeyVerdict.UNCERTAIN);
    }

    /** Guards against a request that is sent in the name of a workspace whose key was moved. */
    @Test
    void keyOfAnotherWorkspaceIsInvalidForRequestThatHasWaited() {
        RoutingTable moved = RoutingTable.builder(2).workspace(workspace("loom", "k")).build();
        assertThat(KeyVerdict.ofWaiting(moved, CLOSED, "k", true, MILL))
                .isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.of(moved, CLOSED, "k", true)).isEqualTo(KeyVerdict.VALID);
    }

    @Test
    void requestOfRouteThatIsNoLongerPublicNeedsKey() {
        assertThat(KeyVerdict.ofWaiting(TABLE, CLOSED, null, true, null))
                .isEqualTo(KeyVerdict.INVALID);
        assertThat(KeyVerdict.ofWaiting(TABLE, CLOSED, "k", true, null))
                .isEqualTo(KeyVerdict.VALID);
        assertThat(KeyVerdict.ofWaiting(TABLE, PUBLIC, null, true, null))
                .isEqualTo(KeyVerdict.NOT_NEEDED);
    }
}
