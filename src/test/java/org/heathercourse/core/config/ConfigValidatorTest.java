package org.heathercourse.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.heathercourse.core.config.ConfigProblem.Kind;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.daemon.config.ConfigCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against accepting invalid configurations. */
class ConfigValidatorTest {
    private static final KeySpec KEY = new KeySpec("k1", "0f".repeat(32), false);
    private static final RouteSpec ROUTE =
            new RouteSpec("/", List.of("GET"), RetrySafety.IDEMPOTENT, false, 1_000);

    private static final DeploymentConfig VALID =
            DeploymentConfig.builder()
                    .revision(3)
                    .zones(List.of(new ZoneSpec(new Zone("a"), "r"), new ZoneSpec(zone("b"), "r")))
                    .links(List.of(new LinkSpec(zone("a"), zone("b"), 5, 0.01, 2)))
                    .workspaces(List.of(workspace(KEY, 10, 20)))
                    .services(List.of(service(ROUTE)))
                    .targets(List.of(target("t1"), target("t2")))
                    .objectives(List.of(objective(0.99)))
                    .build();

    private static Zone zone(String name) {
        return new Zone(name);
    }

    private static WorkspaceSpec workspace(KeySpec key, double rate, double burst) {
        return new WorkspaceSpec(new WorkspaceId("mill"), List.of(key), rate, burst, 100, 1);
    }

    private static ServiceSpec service(RouteSpec... routes) {
        return new ServiceSpec(new ServiceId("app"), ServiceKind.PLAIN, List.of(), List.of(routes));
    }

    private static TargetSpec target(String name) {
        return target(name, "a", "http://127.0.0.1:9001", LifecycleState.UP);
    }

    private static TargetSpec target(String name, String zone, String url, LifecycleState state) {
        return new TargetSpec(
                new TargetId(name),
                new ServiceId("app"),
                zone(zone),
                url,
                List.of(),
                false,
                4,
                state,
                "2027-01-31T00:00:00Z");
    }

    private static ObjectiveSpec objective(double goodRatio) {
        return new ObjectiveSpec(new ServiceId("app"), null, 100, goodRatio, 28);
    }

    /** Guards against rejecting a valid configuration. */
    @Test
    void acceptsValidConfiguration() {
        assertThat(ConfigValidator.validate(VALID, VALID)).isEmpty();
        assertThat(ConfigValidator.validate(DeploymentConfig.empty(), VALID)).isEmpty();
    }

    /** Guards against problems that are missed or reported with a wrong kind or path. */
    @ParameterizedTest(name = "{1} at {2}")
    @MethodSource("faults")
    void reportsKindAndPathOfProblem(
            UnaryOperator<DeploymentConfig> change, Kind kind, String path) {
        List<ConfigProblem> problems = ConfigValidator.validate(VALID, change.apply(VALID));
        assertThat(problems).anyMatch(p -> p.kind() == kind && p.path().equals(path));
        assertThat(problems).allMatch(p -> p.toString().contains("expected"));
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(c -> c.toBuilder().shards(32).build(), Kind.IMMUTABLE, "shards"),
                fault(
                        c -> c.withWorkspaces(List.of(workspace(KEY, 0, 20))),
                        Kind.OUT_OF_RANGE,
                        "workspaces[mill].ratePerSecond"),
                fault(
                        c -> c.withWorkspaces(List.of(workspace(KEY, 1, Double.NaN))),
                        Kind.OUT_OF_RANGE,
                        "workspaces[mill].burst"),
                fault(
                        c -> c.withWorkspaces(List.of(workspace(KEY, 1, 1), workspace(KEY, 1, 1))),
                        Kind.DUPLICATE,
                        "workspaces[mill].keys[k1].keyId"),
                fault(
                        c ->
                                c.withWorkspaces(
                                        List.of(workspace(new KeySpec("k", "AB", false), 1, 1))),
                        Kind.MALFORMED,
                        "workspaces[mill].keys[k].sha256Hex"),
                fault(
                        c -> c.withTargets(List.of(target("t1"), target("t1"))),
                        Kind.DUPLICATE,
                        "targets[t1].target"),
                fault(
                        c -> c.withTargets(List.of(upTarget("nowhere", "http://127.0.0.1"))),
                        Kind.UNKNOWN_REFERENCE,
                        "targets[t].zone"),
                fault(
                        c -> c.withTargets(List.of(upTarget("a", "ftp://127.0.0.1"))),
                        Kind.MALFORMED,
                        "targets[t].baseUrl"),
                fault(
                        c -> c.withTargets(List.of(upTarget("a", "http://user:pw@127.0.0.1"))),
                        Kind.MALFORMED,
                        "targets[t].baseUrl"),
                fault(
                        c -> c.withTargets(List.of(target("t1").withState(LifecycleState.RETIRED))),
                        Kind.LAST_TARGET,
                        "services[app]"),
                fault(
                        c -> c.toBuilder().services(List.of(service(ROUTE, ROUTE))).build(),
                        Kind.DUPLICATE,
                        "services[app].routes[1]"),
                fault(
                        c -> c.toBuilder().objectives(List.of(objective(1))).build(),
                        Kind.OUT_OF_RANGE,
                        "objectives[0].goodRatio"),
                fault(
                        c -> c.toBuilder().services(List.of()).build(),
                        Kind.UNKNOWN_REFERENCE,
                        "targets[t1].service"));
    }

    private static TargetSpec upTarget(String zone, String url) {
        return target("t", zone, url, LifecycleState.UP);
    }

    private static Arguments fault(UnaryOperator<DeploymentConfig> change, Kind kind, String path) {
        return Arguments.of(change, kind, path);
    }

    /** Guards against missed differences and against key digests in the output. */
    @Test
    void listsDifferencesByIdentityWithoutSecrets() {
        KeySpec changed = new KeySpec("k1", "ab".repeat(32), true);
        DeploymentConfig after =
                VALID.toBuilder()
                        .zones(List.of(VALID.zones().get(1), VALID.zones().get(0)))
                        .workspaces(List.of(workspace(changed, 10, 30)))
                        .targets(List.of(target("t2"), target("t3")))
                        .build();
        assertThat(ConfigDiff.between(VALID, after))
                .containsExactlyInAnyOrder(
                        "workspaces[mill].keys[k1].sha256Hex: changed",
                        "workspaces[mill].keys[k1].withdrawn: false -> true",
                        "workspaces[mill].burst: 20.0 -> 30.0",
                        "targets[t1]: removed",
                        "targets[t3]: added");
        assertThat(ConfigDiff.between(VALID, VALID.withRevision(9))).isEmpty();
    }

    /**
     * Guards against a configuration that changes in a JSON round trip, and against ignored
     * misspelt fields.
     */
    @Test
    void readsJsonStrictly() {
        ConfigCodec codec = new ConfigCodec();
        assertThat(codec.readStrict(codec.write(VALID))).isEqualTo(VALID);
        byte[] misspelt =
                "{\"workspaces\":[{\"workspace\":\"m\",\n\"brust\":3}]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> codec.readStrict(misspelt))
                .hasMessageContaining("workspaces[0].brust")
                .hasMessageContaining("line 2")
                .hasMessageContaining("unknown field brust");
        assertThat(codec.readStored(misspelt).workspaces()).hasSize(1);
        for (String bad : List.of("", "null", "{", "{} {}", "{\"shards\":1,\"shards\":2}", "[]")) {
            assertThatThrownBy(() -> codec.readStrict(bad.getBytes(StandardCharsets.UTF_8)))
                    .as("input " + bad)
                    .hasMessageContaining("configuration rejected");
        }
    }
}
