package org.heathercourse.gateway.control;

import java.util.Optional;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.TargetList;

/**
 * The latest configuration, targets and gateways that the control thread has read, for use by other
 * threads. Safe for use by several threads; each value is immutable.
 */
public final class ClusterView {
    private volatile RoutingTable mRouting;
    private volatile TargetList mTargets = TargetList.EMPTY;
    private volatile Fleet mFleet = Fleet.UNKNOWN;

    /** Returns the configuration in force, or empty if none has been read yet. */
    public Optional<RoutingTable> routing() {
        return Optional.ofNullable(mRouting);
    }

    /** Returns the registered targets; empty before the first read. */
    public TargetList targets() {
        return mTargets;
    }

    /** Returns the live gateways; {@link Fleet#UNKNOWN} before the first read. */
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
