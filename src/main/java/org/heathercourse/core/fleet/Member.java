package org.heathercourse.core.fleet;

import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * A gateway's row in the table service. Immutable.
 *
 * @param vm VM that the gateway runs on
 * @param incarnation number that distinguishes this process from earlier ones on the VM
 * @param zone zone of the VM
 * @param callerAddress address for callers, as {@code host:port}
 * @param peerHost address for other gateways
 * @param peerPort port for other gateways
 * @param state state that the gateway reports
 * @param heartbeat number that increases with each heartbeat
 * @param periodMillis time between heartbeats in milliseconds
 * @param processorCores processor time that the VM has, in cores; 0 if unknown
 */
public record Member(
        VmId vm,
        long incarnation,
        Zone zone,
        String callerAddress,
        String peerHost,
        int peerPort,
        MemberState state,
        long heartbeat,
        long periodMillis,
        double processorCores) {
    /**
     * Returns whether another row describes the same process in the same state.
     *
     * @param other the other row; null for none
     */
    public boolean isSameProcessAndState(Member other) {
        return other != null
                && incarnation == other.incarnation
                && state == other.state
                && processorCores == other.processorCores;
    }

    /** Returns this member with unknown processor time, so that all gateways count alike. */
    public Member withoutCapacity() {
        return new Member(
                vm,
                incarnation,
                zone,
                callerAddress,
                peerHost,
                peerPort,
                state,
                heartbeat,
                periodMillis,
                0);
    }

    /** Returns this member with the values of its next heartbeat. */
    public Member withHeartbeat(MemberState newState, long newPeriodMillis) {
        return new Member(
                vm,
                incarnation,
                zone,
                callerAddress,
                peerHost,
                peerPort,
                newState,
                heartbeat + 1,
                newPeriodMillis,
                processorCores);
    }
}
