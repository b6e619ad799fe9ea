package org.heathercourse.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.platform.entry.CallFacts;

/** Selects the service and the target of one call. Confined to the traffic loop. */
final class Placement {
    /**
     * Fraction of a target's connection limit that all gateways together use. When gateway VMs lose
     * power, a target still counts their connections for a while, and the limit must leave room for
     * as many new ones.
     */
    private static final double MAX_CONNECTIONS_FRACTION = 0.45;

    private final CallDependencies mDependencies;
    private final CallFacts mFacts;
    private final Admission mAdmission;
    private final CallWork mWork;

    Placement(CallDependencies dependencies, CallFacts facts, Admission admission, CallWork work) {
        mWork = work;
        mDependencies = dependencies;
        mFacts = facts;
        mAdmission = admission;
    }

    /**
     * Returns the service that runs the call. All calls of one program map to the same service,
     * because another service has no state of the program.
     */
    String serviceName() {
        double hash =
                mFacts.programId() == null
                        ? mDependencies.random().nextDouble()
                        : Rendezvous.unitHash(mFacts.programId());
        return mAdmission.route().selectService(hash);
    }

    /** Returns the targets of the service that accept new calls. */
    List<Target> usableTargets() {
        return mDependencies.clusterView().targets().usableTargets(serviceName());
    }

    /**
     * Selects a target by load.
     *
     * @param candidates targets to select from
     * @param permitted returns whether the target with an id may receive the call
     * @return the target, or empty if none has capacity
     */
    Optional<Target> selectTarget(List<Target> candidates, Predicate<String> permitted) {
        boolean isTurn = mAdmission.route().kind() == RouteKind.STREAMING;
        TargetSelector.SelectionContext context =
                new TargetSelector.SelectionContext(
                        isTurn ? mFacts.programId() : null,
                        mFacts.promptTokens(),
                        mDependencies.clusterView().fleet().readyCount(mDependencies.zone()),
                        mDependencies.ticker().readMillis());
        Optional<Target> selected =
                mDependencies
                        .targetSelector()
                        .select(
                                candidates,
                                permitted,
                                candidate -> mDependencies.pools().pool(candidate).load(),
                                context);
        selected.ifPresent(target -> mWork.recordSelection(candidates, target, context));
        return selected;
    }

    /** Returns the maximum number of connections from this gateway to a target; at least 1. */
    int maxConnections(Target target) {
        int fleetConnections =
                mAdmission
                        .routing()
                        .service(target.service())
                        .map(Service::maxConnections)
                        .orElse(0);
        int gatewayCount = Math.max(1, mDependencies.clusterView().fleet().members().size());
        return Math.max(1, (int) (fleetConnections * MAX_CONNECTIONS_FRACTION / gatewayCount));
    }
}
