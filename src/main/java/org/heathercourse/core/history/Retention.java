package org.heathercourse.core.history;

/**
 * Times until which the row of a turn is kept. Immutable.
 *
 * <p>A row is written with a longer lifetime than its turn needs, because the later turns of its
 * chain need it too, and each extension rewrites a row.
 *
 * @param retentionMillis time for which a turn is kept after its end, in milliseconds
 */
public record Retention(long retentionMillis) {
    /** Margin in milliseconds for differences between the wall clocks of gateways. */
    static final long CLOCK_MARGIN_MILLIS = 30_000;

    /**
     * Lifetime of a row in retentions. With 60 s of retention, a chain of 63 turns of 5 s each
     * extends each of its bases about once; with a lifetime of one retention it would be about
     * three times.
     */
    static final int LIFETIME_RETENTIONS = 4;

    /** Returns the time until which the rows of a turn that ends now must be kept. */
    public long neededUntilMillis(long nowMillis) {
        return nowMillis + retentionMillis + CLOCK_MARGIN_MILLIS;
    }

    /** Returns the time until which a row written now is kept. */
    public long retainedUntilMillis(long nowMillis) {
        return nowMillis + LIFETIME_RETENTIONS * retentionMillis + CLOCK_MARGIN_MILLIS;
    }
}
