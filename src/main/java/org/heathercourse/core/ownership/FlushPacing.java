package org.heathercourse.core.ownership;

/**
 * Limits the commit transactions of a deployment per second. Stateless and safe for use by several
 * threads.
 */
public final class FlushPacing {
    /** Maximum commit transactions per second of all owners together. */
    public static final int TRANSACTIONS_PER_SECOND = 250;

    /** Minimum time between two flushes of one owner, in nanoseconds. */
    public static final long MIN_INTERVAL_NANOS = 5_000_000L;

    private FlushPacing() {}

    /**
     * Returns the minimum time between the starts of two flushes of one owner.
     *
     * @param owners number of daemons that own shards
     * @param objects number of objects that the last flush wrote; the interval is multiplied by it,
     *     because the object store has the same request limit as the table service
     * @return interval in nanoseconds
     */
    public static long intervalNanos(int owners, int objects) {
        long ownerIntervalNanos = Math.max(1, owners) * 1_000_000_000L / TRANSACTIONS_PER_SECOND;
        return Math.max(MIN_INTERVAL_NANOS, ownerIntervalNanos) * Math.max(1, objects);
    }
}
