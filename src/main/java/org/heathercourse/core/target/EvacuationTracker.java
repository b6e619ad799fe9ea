package org.heathercourse.core.target;

import java.util.Set;
import java.util.TreeSet;
import org.heathercourse.core.model.Zone;

/**
 * Maintains the set of evacuated zones from the rows that declare them. A row that cannot be read
 * neither starts nor ends an evacuation. Not thread-safe.
 */
public final class EvacuationTracker {
    private final Set<Zone> mZones = new TreeSet<>();

    /**
     * Replaces all rows.
     *
     * @param declared zones whose rows can be read
     * @param unreadable zones that have a row that cannot be read
     */
    public void replaceAll(Set<Zone> declared, Set<Zone> unreadable) {
        mZones.retainAll(unreadable);
        mZones.addAll(declared);
    }

    /** Adds the zone of a row. */
    public void put(Zone zone) {
        mZones.add(zone);
    }

    /** Removes the zone of a row that was removed. */
    public void remove(Zone zone) {
        mZones.remove(zone);
    }

    /** Returns the evacuated zones at this time. */
    public Set<Zone> zones() {
        return Set.copyOf(mZones);
    }
}
