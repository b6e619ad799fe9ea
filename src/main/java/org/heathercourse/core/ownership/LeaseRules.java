package org.heathercourse.core.ownership;

/**
 * The times that decide when a daemon may act for its shards and when others may take them.
 *
 * <p>A lease ends at least 2 s before an observer declares its holder dead, so that a holder whose
 * clock runs at nearly the same rate has stopped before a successor starts.
 */
public final class LeaseRules {
    /** Time between heartbeats of a daemon that owns shards, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 2_000;

    /** Validity of the own lease from the start of the last successful heartbeat write. */
    public static final long LEASE_MILLIS = 4_000;

    /** Periods of an unchanged heartbeat after which an observer declares a daemon dead. */
    public static final int DEAD_AFTER_PERIODS = 3;

    /** Time for which a row that declares a daemon dead is kept, in milliseconds. */
    public static final long DEAD_ROW_MILLIS = 600_000;

    /** Time between scans of the shard rows, in milliseconds. */
    public static final long SCAN_MILLIS = 1_000;

    /**
     * Gap between two scans of the daemon rows, in milliseconds, beyond which an observer starts to
     * count unchanged heartbeats anew: the store may have been down for their writers too.
     */
    public static final long MAX_SCAN_GAP_MILLIS = 2_500;

    /**
     * Time for which the store must have been readable again before a daemon is declared dead: a
     * heartbeat period and a second for the write, so that a living daemon has written by then.
     */
    public static final long SETTLE_MILLIS = HEARTBEAT_MILLIS + 1_000;

    /** Number of daemons up to which all of them beat every {@link #HEARTBEAT_MILLIS}. */
    private static final int FULL_RATE_DAEMONS = 100;

    /** Heartbeats per second of the daemons that own nothing, together. */
    private static final int IDLE_HEARTBEATS_PER_SECOND = 50;

    /** Rows of daemons that one daemon reads per second at most, which bounds its traffic. */
    private static final int DAEMON_ROWS_PER_SECOND = 200;

    private LeaseRules() {}

    /**
     * Returns the time between heartbeats of a daemon.
     *
     * @param daemons number of live daemons
     * @param ownsShards whether the daemon owns a shard or is about to
     * @return period in milliseconds
     */
    public static long heartbeatPeriodMillis(int daemons, boolean ownsShards) {
        if (ownsShards || daemons <= FULL_RATE_DAEMONS) {
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
     * Returns whether the own lease is valid.
     *
     * @param heartbeatStartNanos ticker time at which the last successful heartbeat write started
     * @param nowNanos present ticker time
     * @return whether less than {@link #LEASE_MILLIS} have passed
     */
    public static boolean leaseValid(long heartbeatStartNanos, long nowNanos) {
        return nowNanos - heartbeatStartNanos < LEASE_MILLIS * 1_000_000L;
    }

    /**
     * Returns the time for which a heartbeat must stay unchanged before its daemon counts as dead.
     *
     * @param periodMillis period that the row states
     * @return time in milliseconds, at least three times {@link #HEARTBEAT_MILLIS}
     */
    public static long deadAfterMillis(long periodMillis) {
        return DEAD_AFTER_PERIODS * Math.max(HEARTBEAT_MILLIS, periodMillis);
    }
}
