package org.heathercourse.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * The declared configuration of a deployment at one revision.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision number that increases with each accepted change; 0 before the first
 * @param shards number of shards; fixed for the lifetime of a deployment
 * @param zones zones
 * @param links links between zones
 * @param workspaces workspaces with their keys and rates
 * @param services services
 * @param targets targets
 * @param vms entry VMs with a declared state; undeclared VMs are up
 * @param objectives service-level objectives
 * @param policy weights of the scheduling decisions
 */
public record DeploymentConfig(
        long revision,
        int shards,
        List<ZoneSpec> zones,
        List<LinkSpec> links,
        List<WorkspaceSpec> workspaces,
        List<ServiceSpec> services,
        List<TargetSpec> targets,
        List<VmSpec> vms,
        List<ObjectiveSpec> objectives,
        PolicySpec policy) {
    /** Number of shards if none is declared. */
    public static final int DEFAULT_SHARDS = 64;

    /** Copies the lists and applies the defaults. */
    public DeploymentConfig {
        shards = shards == 0 ? DEFAULT_SHARDS : shards;
        zones = zones == null ? List.of() : List.copyOf(zones);
        links = links == null ? List.of() : List.copyOf(links);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
        services = services == null ? List.of() : List.copyOf(services);
        targets = targets == null ? List.of() : List.copyOf(targets);
        vms = vms == null ? List.of() : List.copyOf(vms);
        objectives = objectives == null ? List.of() : List.copyOf(objectives);
        policy = policy == null ? PolicySpec.DEFAULT : policy;
    }

    /** Returns the configuration of a deployment before its first change. */
    public static DeploymentConfig empty() {
        return builder().build();
    }

    /** Returns a builder of an empty configuration. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this configuration. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mRevision = revision;
        builder.mShards = shards;
        builder.mZones.addAll(zones);
        builder.mLinks.addAll(links);
        builder.mWorkspaces.addAll(workspaces);
        builder.mServices.addAll(services);
        builder.mTargets.addAll(targets);
        builder.mVms.addAll(vms);
        builder.mObjectives.addAll(objectives);
        builder.mPolicy = policy;
        return builder;
    }

    /** Returns a copy with another revision. */
    public DeploymentConfig withRevision(long newRevision) {
        return toBuilder().revision(newRevision).build();
    }

    /** Returns a copy with other targets. */
    public DeploymentConfig withTargets(List<TargetSpec> newTargets) {
        return toBuilder().targets(newTargets).build();
    }

    /** Returns a copy with other workspaces. */
    public DeploymentConfig withWorkspaces(List<WorkspaceSpec> newWorkspaces) {
        return toBuilder().workspaces(newWorkspaces).build();
    }

    /** Returns the declared service, or empty if none has that identity. */
    public Optional<ServiceSpec> service(ServiceId service) {
        return services.stream().filter(s -> s.service().equals(service)).findFirst();
    }

    /** Returns the declared workspace, or empty if none has that identity. */
    public Optional<WorkspaceSpec> workspace(WorkspaceId workspace) {
        return workspaces.stream().filter(w -> w.workspace().equals(workspace)).findFirst();
    }

    /** Returns the service that declares a model, or empty if there is none. */
    public Optional<ServiceSpec> serviceOfModel(String model) {
        return services.stream()
                .filter(s -> s.models().stream().anyMatch(m -> m.model().equals(model)))
                .findFirst();
    }

    /** Returns the targets of a service in any state. */
    public List<TargetSpec> targetsOf(ServiceId service) {
        return targets.stream().filter(t -> t.service().equals(service)).toList();
    }

    /** Builds a {@link DeploymentConfig}. Not safe for use by several threads. */
    public static final class Builder {
        private long mRevision;
        private int mShards = DEFAULT_SHARDS;
        private List<ZoneSpec> mZones = new ArrayList<>();
        private List<LinkSpec> mLinks = new ArrayList<>();
        private List<WorkspaceSpec> mWorkspaces = new ArrayList<>();
        private List<ServiceSpec> mServices = new ArrayList<>();
        private List<TargetSpec> mTargets = new ArrayList<>();
        private List<VmSpec> mVms = new ArrayList<>();
        private List<ObjectiveSpec> mObjectives = new ArrayList<>();
        private PolicySpec mPolicy = PolicySpec.DEFAULT;

        private Builder() {}

        /** Sets the revision. */
        public Builder revision(long revision) {
            mRevision = revision;
            return this;
        }

        /** Sets the number of shards. */
        public Builder shards(int shards) {
            mShards = shards;
            return this;
        }

        /** Sets the zones. */
        public Builder zones(List<ZoneSpec> zones) {
            mZones = zones;
            return this;
        }

        /** Sets the links. */
        public Builder links(List<LinkSpec> links) {
            mLinks = links;
            return this;
        }

        /** Sets the workspaces. */
        public Builder workspaces(List<WorkspaceSpec> workspaces) {
            mWorkspaces = workspaces;
            return this;
        }

        /** Sets the services. */
        public Builder services(List<ServiceSpec> services) {
            mServices = services;
            return this;
        }

        /** Sets the targets. */
        public Builder targets(List<TargetSpec> targets) {
            mTargets = targets;
            return this;
        }

        /** Sets the entry VMs. */
        public Builder vms(List<VmSpec> vms) {
            mVms = vms;
            return this;
        }

        /** Sets the objectives. */
        public Builder objectives(List<ObjectiveSpec> objectives) {
            mObjectives = objectives;
            return this;
        }

        /** Sets the weights of the scheduling decisions. */
        public Builder policy(PolicySpec policy) {
            mPolicy = policy;
            return this;
        }

        /** Creates the configuration. */
        public DeploymentConfig build() {
            return new DeploymentConfig(
                    mRevision,
                    mShards,
                    mZones,
                    mLinks,
                    mWorkspaces,
                    mServices,
                    mTargets,
                    mVms,
                    mObjectives,
                    mPolicy);
        }
    }
}
