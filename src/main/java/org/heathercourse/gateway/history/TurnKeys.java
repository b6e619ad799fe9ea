package org.heathercourse.gateway.history;

import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.platform.rows.RowKey;

/** Keys of the rows of turns. Stateless and safe for use by several threads. */
final class TurnKeys {
    static final String TURN_TABLE = "turn";
    static final String CONTINUATION_TABLE = "turn_more";
    static final String EXPIRY_TABLE = "turn_expiry";

    /** Number of parts over which turns are spread; one part executes 200 transactions a second. */
    static final int PARTS = 32;

    /** Size of a unit of expiry times in milliseconds. */
    static final long EXPIRY_UNIT_MILLIS = 10_000;

    /** Maximum size of the key of a turn in bytes, which leaves space for prefix and suffix. */
    private static final int MAX_KEY_BYTES = 140;

    private TurnKeys() {}

    /**
     * Returns the key of a turn. The length of the workspace makes it unambiguous where workspaces
     * or ids contain slashes.
     */
    static String turn(String workspace, String turnId) {
        return RowKey.boundedText(
                workspace.length() + "/" + workspace + "/" + turnId, MAX_KEY_BYTES);
    }

    static String part(String turnKey) {
        return Integer.toString((int) (Rendezvous.unitHash(turnKey) * PARTS));
    }

    static RowKey turnRow(String turnKey) {
        return new RowKey(TURN_TABLE, part(turnKey), turnKey);
    }

    /** Returns the key of a continuation; it contains the writer, as two may write one turn. */
    static RowKey continuationRow(String turnKey, long writer, int index) {
        return new RowKey(
                CONTINUATION_TABLE, part(turnKey), turnKey + continuationSuffix(writer, index));
    }

    private static String continuationSuffix(long writer, int index) {
        return "#" + Long.toHexString(writer) + "#" + index;
    }

    /** Returns the key of the expiry entry of a row kept until a time, rounded up to a unit. */
    static RowKey expiryRow(ExpiryEntry entry, long retainedUntilMillis) {
        long unit = Math.floorDiv(retainedUntilMillis - 1, EXPIRY_UNIT_MILLIS) + 1;
        String suffix =
                entry.isOfTurn() ? "" : continuationSuffix(entry.writer(), entry.firstIndex());
        return new RowKey(
                EXPIRY_TABLE,
                part(entry.turnKey()),
                String.format("%010d-%s%s", unit, entry.turnKey(), suffix));
    }

    /** Returns whether an expiry entry has expired by a time. */
    static boolean isExpired(RowKey expiryRow, long nowMillis) {
        long unit = Math.floorDiv(nowMillis, EXPIRY_UNIT_MILLIS);
        return expiryRow.key().compareTo(String.format("%010d.", unit)) < 0;
    }
}
