package org.heathercourse.gateway.control;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetList;

/**
 * The latest configuration, targets and gateways that the control thread has read, for use by other
 * threads. Safe for use by several threads; each value is immutable.
 */
public final class ClusterView {
    /** Maximum number of targets that are known to leave by their own word; the oldest one goes. */
    private static final int MAX_LEAVING_TARGETS = 4_096;

    /** Incarnations of targets that said themselves that they leave. */
    private final Set<String> mLeaving =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MAX_LEAVING_TARGETS;
                        }
                    });

    private final Consumer<Fleet> mOnFleetRead;
    private TargetList mListedTargets = TargetList.EMPTY;
    private volatile Set<Zone> mEvacuatedZones = Set.of();
    private volatile RoutingTable mRouting;
    private volatile TargetList mTargets = TargetList.EMPTY;
    private volatile Fleet mFleet = Fleet.UNKNOWN;

    /** Creates a view in which nothing is known yet. */
    public ClusterView() {
        this(fleet -> {});
    }

    /**
     * Creates a view in which nothing is known yet.
     *
     * @param onFleetRead called with the live gateways after each read, on the control thread
     */
    ClusterView(Consumer<Fleet> onFleetRead) {
        mOnFleetRead = onFleetRead;
    }

    /** Returns the configuration in force, or empty if none has been read yet. */
    public Optional<RoutingTable> routing() {
        return Optional.ofNullable(mRouting);
    }

    /**
     * Returns the registered targets; empty before the first read. A target that said itself that
     * it leaves counts as leaving whatever its row says, as the row may be older, or out of reach.
     * Targets in evacuated zones get no new requests.
     */
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

    /**
     * Sets the targets as read from their table.
     *
     * @return the targets as others see them
     */
    synchronized TargetList setTargets(TargetList targets) {
        mListedTargets = targets;
        return updateTargets();
    }

    /**
     * Records that a target said in a response that it leaves. It holds for this start of the
     * target for good.
     *
     * @param target the target
     * @return whether that is new
     */
    public synchronized boolean recordLeaving(Target target) {
        if (!mLeaving.add(target.incarnation())) {
            return false;
        }
        updateTargets();
        return true;
    }

    private TargetList updateTargets() {
        mTargets = mListedTargets.withLeaving(mLeaving::contains).withEvacuated(mEvacuatedZones);
        return mTargets;
    }

    /** Returns the zones whose targets get no new requests. */
    public Set<Zone> evacuatedZones() {
        return mEvacuatedZones;
    }

    synchronized void setEvacuatedZones(Set<Zone> zones) {
        mEvacuatedZones = Set.copyOf(zones);
        updateTargets();
    }

    void setFleet(Fleet fleet) {
        mFleet = fleet;
        mOnFleetRead.accept(fleet);
    }
}
