package org.heathercourse.core.ownership;

/** Spaces the commit transactions so that a deployment makes a bounded number per second. */
public final class FlushPacing {
    /** Commit transactions per second of all owners together. */
    public static final int TRANSACTIONS_PER_SECOND = 250;

    /** Shortest time between two flushes of one owner, in nanoseconds. */
    public static final long MIN_INTERVAL_NANOS = 5_000_000L;

    private FlushPacing() {}

    /**
     * Returns the shortest time between the starts of two flushes of one owner.
     *
     * @param owners number of daemons that own shards
     * @param objects objects that the last flush wrote; more than one lengthens the interval in
     *     proportion, since the object store has the same limit as the table service
     * @return interval in nanoseconds
     */
    public static long intervalNanos(int owners, int objects) {
        long share = Math.max(1, owners) * 1_000_000_000L / TRANSACTIONS_PER_SECOND;
        return Math.max(MIN_INTERVAL_NANOS, share) * Math.max(1, objects);
    }
}
