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
        boolean draining) {}
