package org.heathercourse.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.routing.AllowedRegions;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.target.ColdTargetRule;
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

    /**
     * Returns the targets of the service that accept new calls, in the regions that are allowed.
     */
    List<Target> usableTargets() {
        return mDependencies
                .regionRule()
                .allowed(
                        mDependencies.clusterView().targets().usableTargets(serviceName()),
                        mAdmission.route().allowedRegions(),
                        mAdmission.workspace() == null
                                ? AllowedRegions.ALL
                                : mAdmission.workspace().allowedRegions());
    }

    /**
     * Selects a target by load, or the one that has probably kept the object of the call.
     *
     * @param candidates targets to select from
     * @param permitted returns whether the target with an id may receive the call
     * @return the target, or empty if none has capacity
     */
    Optional<Target> selectTarget(List<Target> candidates, Predicate<String> permitted) {
        Set<String> closed = closedTargets(candidates);
        boolean isTurn = mAdmission.route().kind() == RouteKind.STREAMING;
        TargetSelector.SelectionContext context =
                new TargetSelector.SelectionContext(
                        isTurn ? mFacts.programId() : null,
                        mFacts.promptTokens(),
                        mDependencies.clusterView().fleet().readyCount(mDependencies.zone()),
                        mDependencies.ticker().readMillis());
        Predicate<String> open = permitted.and(id -> !closed.contains(id));
        Optional<Target> preferred =
                isTurn ? Optional.empty() : targetOfObject(candidates, open, context);
        if (preferred.isPresent()) {
            return preferred;
        }
        Optional<Target> selected =
                mDependencies
                        .targetSelector()
                        .select(
                                candidates,
                                open,
                                candidate -> mDependencies.pools().pool(candidate).load(),
                                context);
        selected.ifPresent(target -> mWork.recordSelection(candidates, target, context));
        return selected;
    }

    /** Returns the target that is preferred for the call's object, if its route wants it. */
    private Optional<Target> targetOfObject(
            List<Target> candidates,
            Predicate<String> permitted,
            TargetSelector.SelectionContext context) {
        if (!mAdmission.route().sessionAffinity() || mFacts.affinityKey() == null) {
            return Optional.empty();
        }
        return mDependencies
                .objectAffinity()
                .preferred(
                        candidates,
                        permitted,
                        candidate -> mDependencies.pools().pool(candidate).load(),
                        mFacts.affinityKey(),
                        context.gatewaysInZone(),
                        context.nowMillis());
    }

    /** Returns the identities of the cold targets to which no request may be sent now. */
    private Set<String> closedTargets(List<Target> candidates) {
        Set<String> closed = new HashSet<>();
        for (Target target : candidates) {
            Optional<Service> service = mAdmission.routing().service(target.service());
            if (service.isPresent()
                    && !mDependencies.coldTargetRule().admits(target, service.get())) {
                closed.add(target.id());
            }
        }
        return closed;
    }

    /**
     * Takes the token of a request that is sent to a target now; only a cold target needs one.
     *
     * @return whether the request may be sent
     */
    boolean admitAtTarget(Target target) {
        Optional<Service> service = mAdmission.routing().service(target.service());
        if (service.isEmpty()) {
            return true;
        }
        ColdTargetRule rule = mDependencies.coldTargetRule();
        if (!rule.acquire(target, service.get())) {
            return false;
        }
        if (rule.isLimited(target, service.get())) {
            mDependencies.metrics().recordSentToCold();
        }
        return true;
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
