package org.heathercourse.core.ownership;

/**
 * Times that determine when a daemon may act for its shards and when others may take them over.
 * Stateless and safe for use by several threads.
 *
 * <p>A lease expires at least 2 s before an observer declares its holder dead, so a holder whose
 * clock runs at nearly the same rate has stopped before a successor starts.
 */
public final class LeaseRules {
    /** Time between heartbeats of a daemon that owns shards, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 2_000;

    /**
     * Validity of a daemon's lease in milliseconds, counted from the start of its last successful
     * heartbeat write.
     */
    public static final long LEASE_MILLIS = 4_000;

    /**
     * Number of heartbeat periods without a change after which an observer declares a daemon dead.
     */
    public static final int DEAD_AFTER_PERIODS = 3;

    /** Time for which a row that declares a daemon dead is kept, in milliseconds. */
    public static final long DEAD_ROW_MILLIS = 600_000;

    /** Time between scans of the shard rows, in milliseconds. */
    public static final long SCAN_MILLIS = 1_000;

    /**
     * Maximum time between two scans of the daemon rows, in milliseconds, for which an observer
     * counts the time of unchanged heartbeats. After a longer gap the store may have been
     * unavailable to the writers of the heartbeats too.
     */
    public static final long MAX_SCAN_GAP_MILLIS = 2_500;

    /**
     * Time in milliseconds for which the store must be readable again before a daemon is declared
     * dead: one heartbeat period plus 1 s for the write, so that a live daemon has written by then.
     */
    public static final long SETTLE_MILLIS = HEARTBEAT_MILLIS + 1_000;

    /**
     * Maximum number of daemons at which all of them write a heartbeat every {@link
     * #HEARTBEAT_MILLIS}.
     */
    private static final int MAX_DAEMONS_AT_FULL_RATE = 100;

    /** Heartbeats per second of all daemons without shards together. */
    private static final int IDLE_HEARTBEATS_PER_SECOND = 50;

    /** Maximum daemon rows that one daemon reads per second, which limits its traffic. */
    private static final int DAEMON_ROWS_PER_SECOND = 200;

    private LeaseRules() {}

    /**
     * Returns the time between heartbeats of a daemon.
     *
     * @param daemons number of live daemons
     * @param ownsShards whether the daemon owns a shard or is about to own one
     * @return period in milliseconds
     */
    public static long heartbeatPeriodMillis(int daemons, boolean ownsShards) {
        if (ownsShards || daemons <= MAX_DAEMONS_AT_FULL_RATE) {
            return HEARTBEAT_MILLIS;
        }
        return Math.max(HEARTBEAT_MILLIS, daemons * 1_000L / IDLE_HEARTBEATS_PER_SECOND);
    }

    /**
     * Returns the time between scans of the daemon rows.
     *
     * @param daemons number of live daemons
     * @return period in milliseconds
     */
    public static long daemonScanMillis(int daemons) {
        long seconds = (daemons + DAEMON_ROWS_PER_SECOND - 1) / DAEMON_ROWS_PER_SECOND;
        return Math.max(SCAN_MILLIS, seconds * 1_000L);
    }

    /**
     * Returns whether a daemon's own lease is valid.
     *
     * @param heartbeatStartNanos ticker time at which the last successful heartbeat write started
     * @param nowNanos current ticker time
     * @return whether less than {@link #LEASE_MILLIS} have passed
     */
    public static boolean leaseValid(long heartbeatStartNanos, long nowNanos) {
        return nowNanos - heartbeatStartNanos < LEASE_MILLIS * 1_000_000L;
    }

    /**
     * Returns the time without a change of the heartbeat after which its daemon is dead.
     *
     * @param periodMillis heartbeat period in milliseconds from the daemon's row
     * @return time in milliseconds, at least three times {@link #HEARTBEAT_MILLIS}
     */
    public static long deadAfterMillis(long periodMillis) {
        return DEAD_AFTER_PERIODS * Math.max(HEARTBEAT_MILLIS, periodMillis);
    }
}
