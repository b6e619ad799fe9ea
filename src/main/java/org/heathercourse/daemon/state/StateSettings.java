package org.heathercourse.daemon.state;

import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.ownership.ShardAssignment;

/**
 * Settings of the state engine. Immutable.
 *
 * @param self this daemon; its incarnation must exceed those of earlier processes on the VM
 * @param shards number of shards of the deployment; must be the same in every daemon
 * @param maxOwners maximum number of daemons that own shards
 * @param storeTimeoutMillis timeout of calls to the table store, in milliseconds
 * @param objectTimeoutMillis timeout of calls to the object store, in milliseconds
 */
public record StateSettings(
        DaemonInfo self,
        int shards,
        int maxOwners,
        long storeTimeoutMillis,
        long objectTimeoutMillis) {
    /** Default number of shards. */
    public static final int DEFAULT_SHARDS = 64;

    /** Leaves time for a second attempt within the lease of 4 s if a heartbeat reply is lost. */
    private static final long STORE_TIMEOUT_MILLIS = 1_500;

    private static final long OBJECT_TIMEOUT_MILLIS = 10_000;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a number is not positive
     */
    public StateSettings {
        if (shards < 1 || maxOwners < 1 || storeTimeoutMillis < 1 || objectTimeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "shards, maxOwners or a timeout is below 1, expected positive numbers");
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
