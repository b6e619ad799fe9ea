package org.heathercourse.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.heathercourse.core.config.ConfigProblem.Kind;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.Zone;

/**
 * Checks a configuration before it is accepted.
 *
 * <p>Each instance checks one configuration and is not safe for use by several threads.
 */
public final class ConfigValidator {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern KEY_ID = Pattern.compile("[A-Za-z0-9-]{1,64}");
    private static final Pattern BASE_URL =
            Pattern.compile("https?://[A-Za-z0-9.\\-\\[\\]:]+(/[^\\s?#]*[^\\s?#/])?");
    private static final int MAX_SHARDS = 65_536;

    private final DeploymentConfig mPrevious;
    private final DeploymentConfig mNext;
    private final List<ConfigProblem> mProblems = new ArrayList<>();
    private final Set<Zone> mZones = new HashSet<>();

    private ConfigValidator(DeploymentConfig previous, DeploymentConfig next) {
        mPrevious = previous;
        mNext = next;
    }

    /**
     * Checks a configuration against itself and against the one before it.
     *
     * @param previous the configuration in force
     * @param next the configuration proposed
     * @return the faults in the order of the fields; empty if there is none
     */
    public static List<ConfigProblem> validate(DeploymentConfig previous, DeploymentConfig next) {
        return new ConfigValidator(previous, next).run();
    }

    private List<ConfigProblem> run() {
        checkShards();
        checkZonesAndLinks();
        checkWorkspaces();
        checkServices();
        checkTargets();
        checkVms();
        checkObjectives();
        checkPolicy();
        checkLastTargets();
        return List.copyOf(mProblems);
    }

    private void checkShards() {
        range("shards", mNext.shards(), 1, MAX_SHARDS);
        if (mPrevious.revision() > 0 && mPrevious.shards() != mNext.shards()) {
            add(Kind.IMMUTABLE, "shards", mNext.shards(), String.valueOf(mPrevious.shards()));
        }
    }

    private void checkZonesAndLinks() {
        for (int i = 0; i < mNext.zones().size(); i++) {
            ZoneSpec spec = mNext.zones().get(i);
            if (present("zones[" + i + "].zone", spec.zone())) {
                unique(mZones, spec.zone(), "zones[" + i + "].zone");
            }
            text("zones[" + i + "].region", spec.region());
        }
        Set<Set<Zone>> ends = new HashSet<>();
        for (int i = 0; i < mNext.links().size(); i++) {
            LinkSpec link = mNext.links().get(i);
            String path = "links[" + i + "]";
            zone(path + ".from", link.from());
            zone(path + ".to", link.to());
            if (link.from() != null && link.to() != null) {
                Set<Zone> pair = new HashSet<>(List.of(link.from()));
                pair.add(link.to());
                unique(ends, pair, path);
            }
            range(path + ".delayMillis", link.delayMillis(), 0, 60_000);
            range(path + ".lossRatio", link.lossRatio(), 0, 1);
            range(path + ".pricePerGigabyte", link.pricePerGigabyte(), 0, 1e9);
        }
    }

    private void checkWorkspaces() {
        Set<Object> workspaces = new HashSet<>();
        Set<Object> keys = new HashSet<>();
        for (int i = 0; i < mNext.workspaces().size(); i++) {
            WorkspaceSpec spec = mNext.workspaces().get(i);
            String path = path("workspaces", i, spec.workspace());
            if (present(path + ".workspace", spec.workspace())) {
                unique(workspaces, spec.workspace(), path + ".workspace");
            }
            positive(path + ".ratePerSecond", spec.ratePerSecond());
            range(path + ".burst", spec.burst(), 1, 1e9);
            range(path + ".programBudgetTokens", spec.programBudgetTokens(), 0, Long.MAX_VALUE);
            positive(path + ".weight", spec.weight());
            for (KeySpec key : spec.keys()) {
                checkKey(path + ".keys[" + key.keyId() + "]", key, keys);
            }
        }
    }

    private void checkKey(String path, KeySpec key, Set<Object> keys) {
        if (key.keyId() == null || !KEY_ID.matcher(key.keyId()).matches()) {
            add(Kind.MALFORMED, path + ".keyId", key.keyId(), "1 to 64 letters, digits or -");
        } else {
            unique(keys, key.keyId(), path + ".keyId");
        }
        if (key.sha256Hex() == null || !DIGEST.matcher(key.sha256Hex()).matches()) {
            String met =
                    key.sha256Hex() == null
                            ? "missing"
                            : "a text of " + key.sha256Hex().length() + " characters";
            add(Kind.MALFORMED, path + ".sha256Hex", met, "64 lower-case hexadecimal digits");
        }
    }

    private void checkServices() {
        Set<Object> services = new HashSet<>();
        Set<Object> models = new HashSet<>();
        for (int i = 0; i < mNext.services().size(); i++) {
            ServiceSpec spec = mNext.services().get(i);
            String path = path("services", i, spec.service());
            if (present(path + ".service", spec.service())) {
                unique(services, spec.service(), path + ".service");
            }
            if (!present(path + ".kind", spec.kind())) {
                continue;
            }
            if (spec.kind() == ServiceKind.MODEL) {
                checkModels(path, spec, models);
            } else {
                checkRoutes(path, spec);
            }
        }
    }

    private void checkModels(String path, ServiceSpec spec, Set<Object> models) {
        if (spec.models().isEmpty()) {
            add(Kind.MISSING, path + ".models", "empty", "at least one model");
        }
        if (!spec.routes().isEmpty()) {
            add(Kind.MALFORMED, path + ".routes", "not empty", "no routes for a model service");
        }
        for (int i = 0; i < spec.models().size(); i++) {
            ModelSpec model = spec.models().get(i);
            String at = path("models", i, model.model());
            if (text(path + "." + at + ".model", model.model())) {
                unique(models, model.model(), path + "." + at + ".model");
            }
            range(path + "." + at + ".sizeBytes", model.sizeBytes(), 0, Long.MAX_VALUE);
        }
    }

    private void checkRoutes(String path, ServiceSpec spec) {
        if (spec.routes().isEmpty()) {
            add(Kind.MISSING, path + ".routes", "empty", "at least one route");
        }
        if (!spec.models().isEmpty()) {
            add(Kind.MALFORMED, path + ".models", "not empty", "no models for a plain service");
        }
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < spec.routes().size(); i++) {
            RouteSpec route = spec.routes().get(i);
            String at = path + ".routes[" + i + "]";
            if (route.pathPrefix() == null || !route.pathPrefix().startsWith("/")) {
                add(Kind.MALFORMED, at + ".pathPrefix", route.pathPrefix(), "a path from /");
            }
            List<String> methods = route.methods().isEmpty() ? List.of("*") : route.methods();
            for (String method : methods) {
                if (!method.equals("*") && !method.matches("[A-Z]{1,16}")) {
                    add(Kind.MALFORMED, at + ".methods", method, "an upper-case HTTP method");
                }
                unique(seen, method + " " + route.pathPrefix(), at);
            }
            present(at + ".retrySafety", route.retrySafety());
            range(at + ".timeoutMillis", route.timeoutMillis(), 1, 86_400_000);
        }
    }

    private void checkTargets() {
        Set<Object> targets = new HashSet<>();
        for (int i = 0; i < mNext.targets().size(); i++) {
            TargetSpec spec = mNext.targets().get(i);
            String path = path("targets", i, spec.target());
            if (present(path + ".target", spec.target())) {
                unique(targets, spec.target(), path + ".target");
            }
            zone(path + ".zone", spec.zone());
            if (spec.baseUrl() == null || !BASE_URL.matcher(spec.baseUrl()).matches()) {
                add(
                        Kind.MALFORMED,
                        path + ".baseUrl",
                        spec.baseUrl(),
                        "an http or https URL without credentials, query or slash at the end");
            }
            range(path + ".maxConcurrency", spec.maxConcurrency(), 1, 1_000_000);
            date(path + ".retireBy", spec.retireBy());
            if (service(path + ".service", spec.service())) {
                checkTargetModels(path, spec);
            }
        }
    }

    private void checkTargetModels(String path, TargetSpec spec) {
        ServiceSpec service = mNext.service(spec.service()).orElseThrow();
        for (String model : spec.models()) {
            if (service.models().stream().noneMatch(m -> model.equals(m.model()))) {
                add(
                        Kind.UNKNOWN_REFERENCE,
                        path + ".models",
                        model,
                        "a model of service " + service.service());
            }
        }
    }

    private void checkVms() {
        Set<Object> vms = new HashSet<>();
        for (int i = 0; i < mNext.vms().size(); i++) {
            VmSpec spec = mNext.vms().get(i);
            String path = path("vms", i, spec.vm());
            if (present(path + ".vm", spec.vm())) {
                unique(vms, spec.vm(), path + ".vm");
            }
            zone(path + ".zone", spec.zone());
            date(path + ".retireBy", spec.retireBy());
        }
    }

    private void checkObjectives() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < mNext.objectives().size(); i++) {
            ObjectiveSpec spec = mNext.objectives().get(i);
            String path = "objectives[" + i + "]";
            service(path + ".service", spec.service());
            if (spec.workspace() != null && mNext.workspace(spec.workspace()).isEmpty()) {
                add(
                        Kind.UNKNOWN_REFERENCE,
                        path + ".workspace",
                        spec.workspace(),
                        "a declared workspace");
            }
            unique(seen, spec.service() + "/" + spec.workspace(), path);
            range(path + ".latencyMillis", spec.latencyMillis(), 1, 86_400_000);
            if (!(spec.goodRatio() > 0 && spec.goodRatio() < 1)) {
                add(
                        Kind.OUT_OF_RANGE,
                        path + ".goodRatio",
                        spec.goodRatio(),
                        "more than 0, less than 1");
            }
            range(path + ".windowDays", spec.windowDays(), 1, 366);
        }
    }

    private void checkPolicy() {
        PolicySpec policy = mNext.policy();
        range("policy.fairnessWeight", policy.fairnessWeight(), 0, 1);
        range(
                "policy.zonePenaltyMillisPerDelayMilli",
                policy.zonePenaltyMillisPerDelayMilli(),
                0,
                1e6);
        range("policy.pricePenaltyMillisPerUnit", policy.pricePenaltyMillisPerUnit(), 0, 1e6);
        range("policy.retryBudgetRatio", policy.retryBudgetRatio(), 0, 1);
    }

    /** A service that had a target up keeps one, unless the service itself is withdrawn. */
    private void checkLastTargets() {
        for (ServiceSpec spec : mNext.services()) {
            ServiceId service = spec.service();
            if (service == null || up(mNext, service) > 0) {
                continue;
            }
            String path = "services[" + service + "]";
            if (up(mPrevious, service) > 0) {
                add(Kind.LAST_TARGET, path, "without a target that is up", "at least one");
            } else {
                add(Kind.MISSING, path, "without a target that is up", "at least one");
            }
        }
    }

    private static long up(DeploymentConfig config, ServiceId service) {
        return config.targets().stream()
                .filter(t -> service.equals(t.service()) && t.state().takesNewWork())
                .count();
    }

    // Checks of single values.

    private void zone(String path, Zone zone) {
        if (present(path, zone) && !mZones.contains(zone)) {
            add(Kind.UNKNOWN_REFERENCE, path, zone, "a declared zone");
        }
    }

    private boolean service(String path, ServiceId service) {
        if (!present(path, service)) {
            return false;
        }
        if (mNext.service(service).isEmpty()) {
            add(Kind.UNKNOWN_REFERENCE, path, service, "a declared service");
            return false;
        }
        return true;
    }

    private boolean present(String path, Object value) {
        if (value == null) {
            add(Kind.MISSING, path, "missing", "a value");
        }
        return value != null;
    }

    private boolean text(String path, String value) {
        if (value == null || value.isBlank()) {
            add(Kind.MISSING, path, "empty", "a text");
            return false;
        }
        return true;
    }

    private void date(String path, String value) {
        if (!value.isEmpty() && !IsoDates.valid(value)) {
            add(Kind.MALFORMED, path, value, "a date and time in ISO 8601 with offset, or nothing");
        }
    }

    private <T> void unique(Set<? super T> seen, T value, String path) {
        if (!seen.add(value)) {
            add(Kind.DUPLICATE, path, value, "an identity that is used once");
        }
    }

    private void positive(String path, double value) {
        if (!(value > 0 && value <= 1e9)) {
            add(Kind.OUT_OF_RANGE, path, value, "more than 0, at most 1e9");
        }
    }

    private void range(String path, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            add(Kind.OUT_OF_RANGE, path, value, least + " to " + most);
        }
    }

    private void add(Kind kind, String path, Object met, String expected) {
        mProblems.add(new ConfigProblem(kind, path, String.valueOf(met), expected));
    }

    private static String path(String list, int index, Object identity) {
        return list + "[" + (identity == null ? index : identity) + "]";
    }
}
