package org.heathercourse.daemon.state;

import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.ownership.ShardAssignment;

/**
 * Settings of the state engine. Immutable.
 *
 * @param self this daemon; its incarnation must exceed those of earlier processes on the VM
 * @param shards number of shards of the deployment, the same in every daemon
 * @param maxOwners most daemons that own shards
 * @param storeTimeoutMillis time after which a table call counts as lost
 * @param objectTimeoutMillis time after which a call of the object store counts as lost
 */
public record StateSettings(
        DaemonInfo self,
        int shards,
        int maxOwners,
        long storeTimeoutMillis,
        long objectTimeoutMillis) {
    /** Number of shards unless the configuration says otherwise. */
    public static final int DEFAULT_SHARDS = 64;

    /** A lost heartbeat reply must leave time for a second try within the lease of 4 s. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500;

    private static final long OBJECT_TIMEOUT_MILLIS = 10_000;

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if one is not positive
     */
    public StateSettings {
        if (shards < 1 || maxOwners < 1 || storeTimeoutMillis < 1 || objectTimeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "shards, owners or timeouts are below 1, expected positive numbers");
        }
    }

    /** Returns settings with default timeouts. */
    public static StateSettings of(DaemonInfo self, int shards) {
        return new StateSettings(
                self,
                shards,
                ShardAssignment.MAX_OWNERS,
                STORE_TIMEOUT_MILLIS,
                OBJECT_TIMEOUT_MILLIS);
    }
}
