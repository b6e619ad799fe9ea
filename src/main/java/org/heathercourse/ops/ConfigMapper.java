package org.heathercourse.ops;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.LinkSpec;
import org.heathercourse.core.config.ModelSpec;
import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.config.RouteSpec;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.config.VmSpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.config.ZoneSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.KeyDeclaration;
import org.heathercourse.ops.v1.LinkDeclaration;
import org.heathercourse.ops.v1.ModelDeclaration;
import org.heathercourse.ops.v1.ObjectiveDeclaration;
import org.heathercourse.ops.v1.PolicyDeclaration;
import org.heathercourse.ops.v1.RetrySafetyDeclaration;
import org.heathercourse.ops.v1.RouteDeclaration;
import org.heathercourse.ops.v1.ServiceDeclaration;
import org.heathercourse.ops.v1.ServiceKindDeclaration;
import org.heathercourse.ops.v1.StateDeclaration;
import org.heathercourse.ops.v1.TargetDeclaration;
import org.heathercourse.ops.v1.VmDeclaration;
import org.heathercourse.ops.v1.WorkspaceDeclaration;
import org.heathercourse.ops.v1.ZoneDeclaration;

/** Converts configurations between the operator schema and the types of the core. Stateless. */
public final class ConfigMapper {
    private static final long DEFAULT_ROUTE_TIMEOUT_MILLIS = 60_000;
    private static final int DEFAULT_MAX_CONCURRENCY = 64;

    private ConfigMapper() {}

    // ---- schema to core ----

    /**
     * Converts a declared configuration. Values that are not set get their defaults.
     *
     * @param declared the configuration as an operator sent it
     * @return the configuration, with revision 0
     * @throws HeathercourseException of kind {@code BAD_REQUEST} if an identity is malformed
     */
    public static DeploymentConfig toCore(Configuration declared) {
        try {
            return DeploymentConfig.builder()
                    .shards(declared.getShards())
                    .zones(declared.getZonesList().stream().map(ConfigMapper::zone).toList())
                    .links(declared.getLinksList().stream().map(ConfigMapper::link).toList())
                    .workspaces(
                            declared.getWorkspacesList().stream()
                                    .map(ConfigMapper::workspace)
                                    .toList())
                    .services(
                            declared.getServicesList().stream().map(ConfigMapper::service).toList())
                    .targets(declared.getTargetsList().stream().map(ConfigMapper::target).toList())
                    .vms(declared.getVmsList().stream().map(ConfigMapper::vm).toList())
                    .objectives(
                            declared.getObjectivesList().stream()
                                    .map(ConfigMapper::objective)
                                    .toList())
                    .policy(declared.hasPolicy() ? policy(declared.getPolicy()) : null)
                    .build();
        } catch (IllegalArgumentException e) {
            throw HeathercourseException.builder(ErrorKind.BAD_REQUEST)
                    .message("the configuration has a malformed identity: " + e.getMessage())
                    .remedy("correct the identity and send the configuration again")
                    .cause(e)
                    .build();
        }
    }

    /**
     * Converts a declared configuration and takes what it does not set from the current one.
     *
     * <p>A workspace declared without keys keeps its keys, a target or VM declared without a state
     * keeps its state, and a VM that is not declared is kept, since these are changed by commands
     * of their own. Applying the same declaration again therefore changes nothing.
     *
     * @param declared the configuration as an operator sent it
     * @param current the current configuration
     * @return the configuration, with revision 0
     */
    public static DeploymentConfig toCore(Configuration declared, DeploymentConfig current) {
        DeploymentConfig mapped = toCore(declared);
        List<WorkspaceSpec> workspaces = new ArrayList<>();
        for (WorkspaceSpec w : mapped.workspaces()) {
            Optional<WorkspaceSpec> existing = current.workspace(w.workspace());
            boolean keepsKeys = w.keys().isEmpty() && existing.isPresent();
            workspaces.add(keepsKeys ? w.withKeys(existing.get().keys()) : w);
        }
        Map<TargetId, LifecycleState> targetStates = new HashMap<>();
        current.targets().forEach(t -> targetStates.put(t.target(), t.state()));
        Map<VmId, LifecycleState> vmStates = new HashMap<>();
        current.vms().forEach(v -> vmStates.put(v.vm(), v.state()));
        List<TargetSpec> targets = new ArrayList<>();
        for (int i = 0; i < mapped.targets().size(); i++) {
            TargetSpec t = mapped.targets().get(i);
            boolean keepsState = isUnset(declared.getTargets(i).getState());
            targets.add(
                    keepsState ? t.withState(targetStates.getOrDefault(t.target(), t.state())) : t);
        }
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < mapped.vms().size(); i++) {
            VmSpec v = mapped.vms().get(i);
            boolean keepsState = isUnset(declared.getVms(i).getState());
            vms.add(keepsState ? v.withState(vmStates.getOrDefault(v.vm(), v.state())) : v);
        }
        for (VmSpec existing : current.vms()) {
            if (mapped.vms().stream().noneMatch(v -> v.vm().equals(existing.vm()))) {
                vms.add(existing);
            }
        }
        return mapped.toBuilder().workspaces(workspaces).targets(targets).vms(vms).build();
    }

    private static boolean isUnset(StateDeclaration state) {
        return state == StateDeclaration.STATE_DECLARATION_UNSPECIFIED;
    }

    private static ZoneSpec zone(ZoneDeclaration d) {
        return new ZoneSpec(new Zone(d.getZone()), d.getRegion());
    }

    private static LinkSpec link(LinkDeclaration d) {
        return new LinkSpec(
                new Zone(d.getFrom()),
                new Zone(d.getTo()),
                d.getDelayMillis(),
                d.getLossRatio(),
                d.getPricePerGigabyte());
    }

    private static WorkspaceSpec workspace(WorkspaceDeclaration d) {
        return new WorkspaceSpec(
                new WorkspaceId(d.getWorkspace()),
                d.getKeysList().stream()
                        .map(k -> new KeySpec(k.getKeyId(), k.getSha256Hex(), k.getWithdrawn()))
                        .toList(),
                d.getRatePerSecond(),
                d.getBurst(),
                d.getProgramBudgetTokens(),
                d.getWeight() == 0 ? 1 : d.getWeight());
    }

    private static ServiceSpec service(ServiceDeclaration d) {
        return new ServiceSpec(
                new ServiceId(d.getService()),
                d.getKind() == ServiceKindDeclaration.MODEL ? ServiceKind.MODEL : ServiceKind.PLAIN,
                d.getModelsList().stream()
                        .map(
                                m ->
                                        new ModelSpec(
                                                m.getModel(),
                                                m.getVersion(),
                                                m.getSizeBytes(),
                                                m.getAdaptersList()))
                        .toList(),
                d.getRoutesList().stream().map(ConfigMapper::route).toList());
    }

    private static RouteSpec route(RouteDeclaration d) {
        return new RouteSpec(
                d.getPathPrefix(),
                d.getMethodsList(),
                d.getRetrySafety() == RetrySafetyDeclaration.IDEMPOTENT
                        ? RetrySafety.IDEMPOTENT
                        : RetrySafety.NON_IDEMPOTENT,
                d.getOpenToAll(),
                d.getTimeoutMillis() == 0 ? DEFAULT_ROUTE_TIMEOUT_MILLIS : d.getTimeoutMillis());
    }

    private static TargetSpec target(TargetDeclaration d) {
        return new TargetSpec(
                new TargetId(d.getTarget()),
                new ServiceId(d.getService()),
                new Zone(d.getZone()),
                d.getBaseUrl(),
                d.getModelsList(),
                d.getChecksFencing(),
                d.getMaxConcurrency() == 0 ? DEFAULT_MAX_CONCURRENCY : d.getMaxConcurrency(),
                state(d.getState()),
                d.getRetireBy());
    }

    private static VmSpec vm(VmDeclaration d) {
        return new VmSpec(
                new VmId(d.getVm()), new Zone(d.getZone()), state(d.getState()), d.getRetireBy());
    }

    private static ObjectiveSpec objective(ObjectiveDeclaration d) {
        return new ObjectiveSpec(
                new ServiceId(d.getService()),
                d.getWorkspace().isEmpty() ? null : new WorkspaceId(d.getWorkspace()),
                d.getLatencyMillis(),
                d.getGoodRatio(),
                d.getWindowDays());
    }

    private static PolicySpec policy(PolicyDeclaration d) {
        return new PolicySpec(
                d.getFairnessWeight(),
                d.getZonePenaltyMillisPerDelayMilli(),
                d.getPricePenaltyMillisPerUnit(),
                d.getRetryBudgetRatio());
    }

    /** Converts a declared state; one that is not set is converted to {@code UP}. */
    static LifecycleState state(StateDeclaration d) {
        return switch (d) {
            case DRAINING -> LifecycleState.DRAINING;
            case RETIRED -> LifecycleState.RETIRED;
            default -> LifecycleState.UP;
        };
    }

    // ---- core to schema ----

    /**
     * Converts a configuration of the core.
     *
     * @param config the configuration
     * @return the configuration in the operator schema, without its revision
     */
    public static Configuration toSchema(DeploymentConfig config) {
        Configuration.Builder out = Configuration.newBuilder().setShards(config.shards());
        config.zones()
                .forEach(
                        z -> out.addZonesBuilder().setZone(z.zone().value()).setRegion(z.region()));
        config.links().forEach(l -> out.addLinks(link(l)));
        config.workspaces().forEach(w -> out.addWorkspaces(workspace(w)));
        config.services().forEach(s -> out.addServices(service(s)));
        config.targets().forEach(t -> out.addTargets(target(t)));
        config.vms().forEach(v -> out.addVms(vm(v)));
        config.objectives().forEach(o -> out.addObjectives(objective(o)));
        return out.setPolicy(policy(config.policy())).build();
    }

    private static LinkDeclaration link(LinkSpec l) {
        return LinkDeclaration.newBuilder()
                .setFrom(l.from().value())
                .setTo(l.to().value())
                .setDelayMillis(l.delayMillis())
                .setLossRatio(l.lossRatio())
                .setPricePerGigabyte(l.pricePerGigabyte())
                .build();
    }

    private static WorkspaceDeclaration workspace(WorkspaceSpec w) {
        WorkspaceDeclaration.Builder out =
                WorkspaceDeclaration.newBuilder()
                        .setWorkspace(w.workspace().value())
                        .setRatePerSecond(w.ratePerSecond())
                        .setBurst(w.burst())
                        .setProgramBudgetTokens(w.programBudgetTokens())
                        .setWeight(w.weight());
        for (KeySpec key : w.keys()) {
            out.addKeys(
                    KeyDeclaration.newBuilder()
                            .setKeyId(key.keyId())
                            .setSha256Hex(key.sha256Hex())
                            .setWithdrawn(key.withdrawn()));
        }
        return out.build();
    }

    private static ServiceDeclaration service(ServiceSpec s) {
        ServiceDeclaration.Builder out =
                ServiceDeclaration.newBuilder()
                        .setService(s.service().value())
                        .setKind(
                                s.kind() == ServiceKind.MODEL
                                        ? ServiceKindDeclaration.MODEL
                                        : ServiceKindDeclaration.PLAIN);
        for (ModelSpec model : s.models()) {
            out.addModels(
                    ModelDeclaration.newBuilder()
                            .setModel(model.model())
                            .setVersion(model.version() == null ? "" : model.version())
                            .setSizeBytes(model.sizeBytes())
                            .addAllAdapters(model.adapters()));
        }
        for (RouteSpec route : s.routes()) {
            out.addRoutes(
                    RouteDeclaration.newBuilder()
                            .setPathPrefix(route.pathPrefix())
                            .addAllMethods(route.methods())
                            .setRetrySafety(
                                    route.retrySafety() == RetrySafety.IDEMPOTENT
                                            ? RetrySafetyDeclaration.IDEMPOTENT
                                            : RetrySafetyDeclaration.NON_IDEMPOTENT)
                            .setOpenToAll(route.openToAll())
                            .setTimeoutMillis(route.timeoutMillis()));
        }
        return out.build();
    }

    private static TargetDeclaration target(TargetSpec t) {
        return TargetDeclaration.newBuilder()
                .setTarget(t.target().value())
                .setService(t.service().value())
                .setZone(t.zone().value())
                .setBaseUrl(t.baseUrl())
                .addAllModels(t.models())
                .setChecksFencing(t.checksFencing())
                .setMaxConcurrency(t.maxConcurrency())
                .setState(state(t.state()))
                .setRetireBy(t.retireBy())
                .build();
    }

    private static VmDeclaration vm(VmSpec v) {
        return VmDeclaration.newBuilder()
                .setVm(v.vm().value())
                .setZone(v.zone().value())
                .setState(state(v.state()))
                .setRetireBy(v.retireBy())
                .build();
    }

    private static ObjectiveDeclaration objective(ObjectiveSpec o) {
        return ObjectiveDeclaration.newBuilder()
                .setService(o.service().value())
                .setWorkspace(o.workspace() == null ? "" : o.workspace().value())
                .setLatencyMillis(o.latencyMillis())
                .setGoodRatio(o.goodRatio())
                .setWindowDays(o.windowDays())
                .build();
    }

    private static PolicyDeclaration policy(PolicySpec p) {
        return PolicyDeclaration.newBuilder()
                .setFairnessWeight(p.fairnessWeight())
                .setZonePenaltyMillisPerDelayMilli(p.zonePenaltyMillisPerDelayMilli())
                .setPricePenaltyMillisPerUnit(p.pricePenaltyMillisPerUnit())
                .setRetryBudgetRatio(p.retryBudgetRatio())
                .build();
    }

    /** Converts a state of the core. */
    public static StateDeclaration state(LifecycleState state) {
        return switch (state) {
            case UP -> StateDeclaration.UP;
            case DRAINING -> StateDeclaration.DRAINING;
            case RETIRED -> StateDeclaration.RETIRED;
        };
    }
}
