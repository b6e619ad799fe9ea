package org.heathercourse.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.platform.entry.CallFacts;

/** Where one call may run. Confined to the traffic loop. */
final class Placement {
    /**
     * Part of a target's connections that all gateways together use. When VMs lose power, targets
     * keep the connections of that time for a while, and the same number has to fit beside them.
     */
    private static final double CONNECTIONS_PART = 0.45;

    private final CallDependencies mDependencies;
    private final CallFacts mFacts;
    private final Admission mAdmission;

    Placement(CallDependencies dependencies, CallFacts facts, Admission admission) {
        mDependencies = dependencies;
        mFacts = facts;
        mAdmission = admission;
    }

    /** Calls of one program go to the same service, because a new one knows nothing of it. */
    String service() {
        double point =
                mFacts.programId() == null
                        ? mDependencies.random().nextDouble()
                        : Rendezvous.unitHash(mFacts.programId());
        return mAdmission.route().selectService(point);
    }

    /** Returns the targets to which the call may be sent now. */
    List<Target> usable() {
        return mDependencies.clusterView().targets().usableTargets(service());
    }

    /**
     * Chooses a target.
     *
     * @param usable targets to choose from
     * @param excluded identities of targets that must not be chosen again
     */
    Optional<Target> choose(List<Target> usable, Set<String> excluded) {
        boolean turn = mAdmission.route().kind() == RouteKind.STREAMING;
        TargetSelector.SelectionContext ask =
                new TargetSelector.SelectionContext(
                        turn ? mFacts.programId() : null,
                        mFacts.promptTokens(),
                        mDependencies.clusterView().fleet().readyCount(mDependencies.zone()),
                        mDependencies.ticker().readMillis());
        return mDependencies
                .targetSelector()
                .select(
                        usable,
                        excluded,
                        candidate -> mDependencies.pools().pool(candidate).load(),
                        ask);
    }

    /** Returns how many connections this gateway may have to a target. */
    int maxConnections(Target target) {
        int all =
                mAdmission
                        .routing()
                        .service(target.service())
                        .map(Service::maxConnections)
                        .orElse(0);
        int gateways = Math.max(1, mDependencies.clusterView().fleet().members().size());
        return Math.max(1, (int) (all * CONNECTIONS_PART / gateways));
    }
}
