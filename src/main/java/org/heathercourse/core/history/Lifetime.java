package org.heathercourse.core.history;

/**
 * Lifetime of the row of a turn. Immutable.
 *
 * <p>A row is kept longer than its turn needs, because the later turns of its chain need it too,
 * and each extension rewrites a row.
 *
 * @param neededUntilMillis wall-clock time in milliseconds until which the turn can be continued;
 *     its bases are kept at least until then
 * @param retainedUntilMillis wall-clock time in milliseconds until which the row is kept
 */
public record Lifetime(long neededUntilMillis, long retainedUntilMillis) {
    /** Margin in milliseconds for differences between the wall clocks of gateways. */
    static final long CLOCK_MARGIN_MILLIS = 30_000;

    /**
     * Time for which a row is kept, in retentions. In a chain of 63 turns 5 s apart, with 1.3 MB
     * and 60 s of retention, a turn takes 1.2 writes; with two retentions it takes 1.9, with one
     * 15.
     */
    static final int RETENTIONS = 4;

    /**
     * Returns the lifetime of a turn that ends.
     *
     * @param nowMillis wall-clock time in milliseconds
     * @param retentionMillis time for which the turn is kept, in milliseconds
     */
    public static Lifetime beginningAt(long nowMillis, long retentionMillis) {
        return new Lifetime(
                nowMillis + retentionMillis + CLOCK_MARGIN_MILLIS,
                nowMillis + RETENTIONS * retentionMillis + CLOCK_MARGIN_MILLIS);
    }

    /** Returns whether the row is kept at a time. */
    public boolean isRetained(long nowMillis) {
        return nowMillis < retainedUntilMillis;
    }

    /** Returns whether the turn can be continued at a time, so that its bases are kept. */
    public boolean isNeeded(long nowMillis) {
        return nowMillis < neededUntilMillis;
    }

    Lifetime withRetainedUntil(long millis) {
        return new Lifetime(neededUntilMillis, millis);
    }
}
