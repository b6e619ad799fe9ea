package org.heathercourse.platform.rows;

/**
 * A row as the store returned it. The array must not be changed.
 *
 * @param key key of the row
 * @param value content; empty if the row does not exist
 * @param version number that increases with each write; {@link #ABSENT} if the row does not exist
 */
public record StoredRow(RowKey key, byte[] value, long version) {
    /** Version of a row that does not exist. */
    public static final long ABSENT = 0;

    /** Returns the representation of a row that does not exist. */
    public static StoredRow absent(RowKey key) {
        return new StoredRow(key, new byte[0], ABSENT);
    }

    /** Returns whether the row exists. */
    public boolean exists() {
        return version != ABSENT;
    }
}
