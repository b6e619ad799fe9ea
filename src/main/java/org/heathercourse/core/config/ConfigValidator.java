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
 * Validates a configuration before it is accepted.
 *
 * <p>Instances validate one configuration and are not safe for use by several threads; the static
 * method is.
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
     * Validates a configuration by itself and against the previous one.
     *
     * @param previous the configuration in force
     * @param next the proposed configuration
     * @return the problems in the order of the fields; empty if there are none
     */
    public static List<ConfigProblem> validate(DeploymentConfig previous, DeploymentConfig next) {
        return new ConfigValidator(previous, next).validateAll();
    }

    private List<ConfigProblem> validateAll() {
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
        checkRange("shards", mNext.shards(), 1, MAX_SHARDS);
        if (mPrevious.revision() > 0 && mPrevious.shards() != mNext.shards()) {
            addProblem(
                    Kind.IMMUTABLE, "shards", mNext.shards(), String.valueOf(mPrevious.shards()));
        }
    }

    private void checkZonesAndLinks() {
        for (int i = 0; i < mNext.zones().size(); i++) {
            ZoneSpec spec = mNext.zones().get(i);
            if (checkPresent("zones[" + i + "].zone", spec.zone())) {
                checkUnique(mZones, spec.zone(), "zones[" + i + "].zone");
            }
            checkNotBlank("zones[" + i + "].region", spec.region());
        }
        Set<Set<Zone>> linkedZones = new HashSet<>();
        for (int i = 0; i < mNext.links().size(); i++) {
            LinkSpec link = mNext.links().get(i);
            String path = "links[" + i + "]";
            checkZone(path + ".from", link.from());
            checkZone(path + ".to", link.to());
            if (link.from() != null && link.to() != null) {
                Set<Zone> linkEnds = new HashSet<>(List.of(link.from()));
                linkEnds.add(link.to());
                checkUnique(linkedZones, linkEnds, path);
            }
            checkRange(path + ".delayMillis", link.delayMillis(), 0, 60_000);
            checkRange(path + ".lossRatio", link.lossRatio(), 0, 1);
            checkRange(path + ".pricePerGigabyte", link.pricePerGigabyte(), 0, 1e9);
        }
    }

    private void checkWorkspaces() {
        Set<Object> workspaces = new HashSet<>();
        Set<Object> keys = new HashSet<>();
        for (int i = 0; i < mNext.workspaces().size(); i++) {
            WorkspaceSpec spec = mNext.workspaces().get(i);
            String path = itemPath("workspaces", i, spec.workspace());
            if (checkPresent(path + ".workspace", spec.workspace())) {
                checkUnique(workspaces, spec.workspace(), path + ".workspace");
            }
            checkPositive(path + ".ratePerSecond", spec.ratePerSecond());
            checkRange(path + ".burst", spec.burst(), 1, 1e9);
            checkRange(
                    path + ".programBudgetTokens", spec.programBudgetTokens(), 0, Long.MAX_VALUE);
            checkPositive(path + ".weight", spec.weight());
            for (KeySpec key : spec.keys()) {
                checkKey(path + ".keys[" + key.keyId() + "]", key, keys);
            }
        }
    }

    private void checkKey(String path, KeySpec key, Set<Object> keys) {
        if (key.keyId() == null || !KEY_ID.matcher(key.keyId()).matches()) {
            addProblem(
                    Kind.MALFORMED, path + ".keyId", key.keyId(), "1 to 64 letters, digits or -");
        } else {
            checkUnique(keys, key.keyId(), path + ".keyId");
        }
        if (key.sha256Hex() == null || !DIGEST.matcher(key.sha256Hex()).matches()) {
            String met =
                    key.sha256Hex() == null
                            ? "missing"
                            : "a text of " + key.sha256Hex().length() + " characters";
            addProblem(
                    Kind.MALFORMED, path + ".sha256Hex", met, "64 lower-case hexadecimal digits");
        }
    }

    private void checkServices() {
        Set<Object> services = new HashSet<>();
        Set<Object> models = new HashSet<>();
        for (int i = 0; i < mNext.services().size(); i++) {
            ServiceSpec spec = mNext.services().get(i);
            String path = itemPath("services", i, spec.service());
            if (checkPresent(path + ".service", spec.service())) {
                checkUnique(services, spec.service(), path + ".service");
            }
            if (!checkPresent(path + ".kind", spec.kind())) {
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
            addProblem(Kind.MISSING, path + ".models", "empty", "at least one model");
        }
        if (!spec.routes().isEmpty()) {
            addProblem(
                    Kind.MALFORMED, path + ".routes", "not empty", "no routes for a model service");
        }
        for (int i = 0; i < spec.models().size(); i++) {
            ModelSpec model = spec.models().get(i);
            String modelPath = itemPath("models", i, model.model());
            if (checkNotBlank(path + "." + modelPath + ".model", model.model())) {
                checkUnique(models, model.model(), path + "." + modelPath + ".model");
            }
            checkRange(path + "." + modelPath + ".sizeBytes", model.sizeBytes(), 0, Long.MAX_VALUE);
        }
    }

    private void checkRoutes(String path, ServiceSpec spec) {
        if (spec.routes().isEmpty()) {
            addProblem(Kind.MISSING, path + ".routes", "empty", "at least one route");
        }
        if (!spec.models().isEmpty()) {
            addProblem(
                    Kind.MALFORMED, path + ".models", "not empty", "no models for a plain service");
        }
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < spec.routes().size(); i++) {
            RouteSpec route = spec.routes().get(i);
            String routePath = path + ".routes[" + i + "]";
            if (route.pathPrefix() == null || !route.pathPrefix().startsWith("/")) {
                addProblem(
                        Kind.MALFORMED,
                        routePath + ".pathPrefix",
                        route.pathPrefix(),
                        "a path that starts with /");
            }
            List<String> methods = route.methods().isEmpty() ? List.of("*") : route.methods();
            for (String method : methods) {
                if (!method.equals("*") && !method.matches("[A-Z]{1,16}")) {
                    addProblem(
                            Kind.MALFORMED,
                            routePath + ".methods",
                            method,
                            "an upper-case HTTP method");
                }
                checkUnique(seen, method + " " + route.pathPrefix(), routePath);
            }
            checkPresent(routePath + ".retrySafety", route.retrySafety());
            checkRange(routePath + ".timeoutMillis", route.timeoutMillis(), 1, 86_400_000);
        }
    }

    private void checkTargets() {
        Set<Object> targets = new HashSet<>();
        for (int i = 0; i < mNext.targets().size(); i++) {
            TargetSpec spec = mNext.targets().get(i);
            String path = itemPath("targets", i, spec.target());
            if (checkPresent(path + ".target", spec.target())) {
                checkUnique(targets, spec.target(), path + ".target");
            }
            checkZone(path + ".zone", spec.zone());
            if (spec.baseUrl() == null || !BASE_URL.matcher(spec.baseUrl()).matches()) {
                addProblem(
                        Kind.MALFORMED,
                        path + ".baseUrl",
                        spec.baseUrl(),
                        "an http or https URL without credentials, query or trailing slash");
            }
            checkRange(path + ".maxConcurrency", spec.maxConcurrency(), 1, 1_000_000);
            checkDate(path + ".retireBy", spec.retireBy());
            if (checkService(path + ".service", spec.service())) {
                checkTargetModels(path, spec);
            }
        }
    }

    private void checkTargetModels(String path, TargetSpec spec) {
        ServiceSpec service = mNext.service(spec.service()).orElseThrow();
        for (String model : spec.models()) {
            if (service.models().stream().noneMatch(m -> model.equals(m.model()))) {
                addProblem(
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
            String path = itemPath("vms", i, spec.vm());
            if (checkPresent(path + ".vm", spec.vm())) {
                checkUnique(vms, spec.vm(), path + ".vm");
            }
            checkZone(path + ".zone", spec.zone());
            checkDate(path + ".retireBy", spec.retireBy());
        }
    }

    private void checkObjectives() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < mNext.objectives().size(); i++) {
            ObjectiveSpec spec = mNext.objectives().get(i);
            String path = "objectives[" + i + "]";
            checkService(path + ".service", spec.service());
            if (spec.workspace() != null && mNext.workspace(spec.workspace()).isEmpty()) {
                addProblem(
                        Kind.UNKNOWN_REFERENCE,
                        path + ".workspace",
                        spec.workspace(),
                        "a declared workspace");
            }
            checkUnique(seen, spec.service() + "/" + spec.workspace(), path);
            checkRange(path + ".latencyMillis", spec.latencyMillis(), 1, 86_400_000);
            if (!(spec.goodRatio() > 0 && spec.goodRatio() < 1)) {
                addProblem(
                        Kind.OUT_OF_RANGE,
                        path + ".goodRatio",
                        spec.goodRatio(),
                        "a number above 0 and below 1");
            }
            checkRange(path + ".windowDays", spec.windowDays(), 1, 366);
        }
    }

    private void checkPolicy() {
        PolicySpec policy = mNext.policy();
        checkRange("policy.fairnessWeight", policy.fairnessWeight(), 0, 1);
        checkRange(
                "policy.zonePenaltyMillisPerDelayMilli",
                policy.zonePenaltyMillisPerDelayMilli(),
                0,
                1e6);
        checkRange("policy.pricePenaltyMillisPerUnit", policy.pricePenaltyMillisPerUnit(), 0, 1e6);
        checkRange("policy.retryBudgetRatio", policy.retryBudgetRatio(), 0, 1);
    }

    /** Reports declared services without a target that is up, distinguishing those that had one. */
    private void checkLastTargets() {
        for (ServiceSpec spec : mNext.services()) {
            ServiceId service = spec.service();
            if (service == null || countTargetsUp(mNext, service) > 0) {
                continue;
            }
            String path = "services[" + service + "]";
            if (countTargetsUp(mPrevious, service) > 0) {
                addProblem(Kind.LAST_TARGET, path, "without a target that is up", "at least one");
            } else {
                addProblem(Kind.MISSING, path, "without a target that is up", "at least one");
            }
        }
    }

    private static long countTargetsUp(DeploymentConfig config, ServiceId service) {
        return config.targets().stream()
                .filter(t -> service.equals(t.service()) && t.state().takesNewWork())
                .count();
    }

    // Checks of single values. Each adds a problem if the value is invalid.

    private void checkZone(String path, Zone zone) {
        if (checkPresent(path, zone) && !mZones.contains(zone)) {
            addProblem(Kind.UNKNOWN_REFERENCE, path, zone, "a declared zone");
        }
    }

    private boolean checkService(String path, ServiceId service) {
        if (!checkPresent(path, service)) {
            return false;
        }
        if (mNext.service(service).isEmpty()) {
            addProblem(Kind.UNKNOWN_REFERENCE, path, service, "a declared service");
            return false;
        }
        return true;
    }

    private boolean checkPresent(String path, Object value) {
        if (value == null) {
            addProblem(Kind.MISSING, path, "missing", "a value");
        }
        return value != null;
    }

    private boolean checkNotBlank(String path, String value) {
        if (value == null || value.isBlank()) {
            addProblem(Kind.MISSING, path, "empty", "a non-blank text");
            return false;
        }
        return true;
    }

    private void checkDate(String path, String value) {
        if (!value.isEmpty() && !IsoDates.isValid(value)) {
            addProblem(
                    Kind.MALFORMED,
                    path,
                    value,
                    "an ISO 8601 date and time with offset, or an empty string");
        }
    }

    private <T> void checkUnique(Set<? super T> seen, T value, String path) {
        if (!seen.add(value)) {
            addProblem(Kind.DUPLICATE, path, value, "a unique identity");
        }
    }

    private void checkPositive(String path, double value) {
        if (!(value > 0 && value <= 1e9)) {
            addProblem(Kind.OUT_OF_RANGE, path, value, "a number above 0, at most 1e9");
        }
    }

    private void checkRange(String path, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            addProblem(Kind.OUT_OF_RANGE, path, value, min + " to " + max);
        }
    }

    private void addProblem(Kind kind, String path, Object met, String expected) {
        mProblems.add(new ConfigProblem(kind, path, String.valueOf(met), expected));
    }

    private static String itemPath(String list, int index, Object identity) {
        return list + "[" + (identity == null ? index : identity) + "]";
    }
}
