package org.heathercourse.core.config;

import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * A declared entry VM.
 *
 * @param vm identity of the VM
 * @param zone zone that it stands in
 * @param state declared state
 * @param retireBy date and time in ISO 8601 by which it has to be gone; empty if there is none
 */
public record VmSpec(VmId vm, Zone zone, LifecycleState state, String retireBy) {
    /** Fills in defaults. */
    public VmSpec {
        state = state == null ? LifecycleState.UP : state;
        retireBy = retireBy == null ? "" : retireBy;
    }

    /** Returns a copy with another declared state. */
    public VmSpec withState(LifecycleState newState) {
        return new VmSpec(vm, zone, newState, retireBy);
    }
}
