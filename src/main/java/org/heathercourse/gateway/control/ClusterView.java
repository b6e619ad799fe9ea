package org.heathercourse.gateway.control;

import java.util.Optional;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.TargetList;

/**
 * What the control thread knows, for the threads that carry traffic. Safe for use by several
 * threads; each value is immutable.
 */
public final class ClusterView {
    private volatile RoutingTable mRouting;
    private volatile TargetList mTargets = TargetList.EMPTY;
    private volatile Fleet mFleet = Fleet.UNKNOWN;

    /** Returns the configuration in force, or empty if none is known yet. */
    public Optional<RoutingTable> routing() {
        return Optional.ofNullable(mRouting);
    }

    /** Returns the targets. */
    public TargetList targets() {
        return mTargets;
    }

    /** Returns the living gateways. */
    public Fleet fleet() {
        return mFleet;
    }

    void setRouting(RoutingTable routing) {
        mRouting = routing;
    }

    void setTargets(TargetList targets) {
        mTargets = targets;
    }

    void setFleet(Fleet fleet) {
        mFleet = fleet;
    }
}
