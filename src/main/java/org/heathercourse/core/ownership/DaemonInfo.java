package org.heathercourse.core.ownership;

import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * A daemon's row in the table service. Immutable.
 *
 * @param vm VM that the daemon runs on
 * @param incarnation number that distinguishes this process from earlier ones on the same VM; later
 *     processes have greater numbers
 * @param zone zone of the VM
 * @param host host name or address of the VM
 * @param callerPort port for requests of callers
 * @param peerPort port for messages of other daemons
 * @param operatorPort port for requests of operators
 * @param heartbeat number that increases with each heartbeat
 * @param periodMillis time between heartbeats in milliseconds
 * @param draining whether the daemon is draining before it stops
 */
public record DaemonInfo(
        VmId vm,
        long incarnation,
        Zone zone,
        String host,
        int callerPort,
        int peerPort,
        int operatorPort,
        long heartbeat,
        long periodMillis,
        boolean draining) {
    /** Heartbeat value of a row that another daemon wrote to declare this one dead. */
    private static final long DEAD = -1;

    /** Returns this row with new values of the fields that change with a heartbeat. */
    public DaemonInfo withHeartbeat(long newHeartbeat, long newPeriodMillis, boolean newDraining) {
        return new DaemonInfo(
                vm,
                incarnation,
                zone,
                host,
                callerPort,
                peerPort,
                operatorPort,
                newHeartbeat,
                newPeriodMillis,
                newDraining);
    }

    /** Returns the row that declares this daemon dead. */
    public DaemonInfo asDead() {
        return withHeartbeat(DEAD, periodMillis, draining);
    }

    /**
     * Returns whether the row declares the daemon dead. Such a row is kept for {@link
     * LeaseRules#DEAD_ROW_MILLIS}. If it were deleted at once, the versions of a new row would
     * start again at 1, and an observer with an outdated version could declare a live daemon dead.
     */
    public boolean declaredDead() {
        return heartbeat == DEAD;
    }
}
