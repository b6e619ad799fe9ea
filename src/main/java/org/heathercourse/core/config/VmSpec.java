package org.heathercourse.core.config;

import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * A declared entry VM. Immutable.
 *
 * @param vm identity of the VM
 * @param zone zone that it runs in
 * @param state declared state
 * @param retireBy ISO 8601 date and time by which the VM must be retired; empty if there is none
 */
public record VmSpec(VmId vm, Zone zone, LifecycleState state, String retireBy) {
    /** Applies the defaults. */
    public VmSpec {
        state = state == null ? LifecycleState.UP : state;
        retireBy = retireBy == null ? "" : retireBy;
    }

    /** Returns a copy with another declared state. */
    public VmSpec withState(LifecycleState newState) {
        return new VmSpec(vm, zone, newState, retireBy);
    }
}
