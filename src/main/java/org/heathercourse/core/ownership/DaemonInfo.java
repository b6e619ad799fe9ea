package org.heathercourse.core.ownership;

import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * A daemon as its row in the table service describes it.
 *
 * @param vm VM that it runs on
 * @param incarnation number that tells this process from earlier ones on the same VM; later
 *     processes have greater numbers
 * @param zone zone of the VM
 * @param host address of the VM
 * @param callerPort port for callers
 * @param peerPort port for other daemons
 * @param operatorPort port for operators
 * @param heartbeat number that rises with each heartbeat
 * @param periodMillis time between heartbeats in milliseconds
 * @param draining whether it is leaving
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
    /** Heartbeat of a row that another daemon wrote when it declared this one dead. */
    private static final long DEAD = -1;

    /** Returns this daemon with other changing values. */
    public DaemonInfo withHeartbeat(long newHeartbeat, long newPeriodMillis, boolean nowDraining) {
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
                nowDraining);
    }

    /** Returns the row that declares this daemon dead. */
    public DaemonInfo asDead() {
        return withHeartbeat(DEAD, periodMillis, draining);
    }

    /**
     * Returns whether the row declares the daemon dead. Such a row stays for a while: deleting it
     * at once would let the versions of a new row start again at 1, and an observer with an old
     * reading could then declare a living daemon dead.
     */
    public boolean declaredDead() {
        return heartbeat == DEAD;
    }
}
