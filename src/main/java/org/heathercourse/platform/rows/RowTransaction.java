package org.heathercourse.platform.rows;

import java.util.ArrayList;
import java.util.List;

/**
 * Conditional writes of rows of one part that take effect atomically. Immutable.
 *
 * @param writes the writes
 */
public record RowTransaction(List<Write> writes) {
    /** Copies the writes. */
    public RowTransaction {
        writes = List.copyOf(writes);
    }

    /** Expected version of an unconditional write. */
    public static final long ANY_VERSION = -1;

    /**
     * One write.
     *
     * @param key key of the row
     * @param expectedVersion version that the row must have; {@link StoredRow#ABSENT} if it must
     *     not exist, {@link #ANY_VERSION} for an unconditional write
     * @param value new content, or null to remove the row
     */
    public record Write(RowKey key, long expectedVersion, byte[] value) {}

    /** Returns a transaction of one write. */
    public static RowTransaction put(RowKey key, long expectedVersion, byte[] value) {
        return new RowTransaction(List.of(new Write(key, expectedVersion, value)));
    }

    /** Returns a builder without writes. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a transaction. Not safe for use by several threads. */
    public static final class Builder {
        private final List<Write> mWrites = new ArrayList<>();

        private Builder() {}

        /** Adds a write of a row that requires the given version. */
        public Builder put(RowKey key, long expectedVersion, byte[] value) {
            mWrites.add(new Write(key, expectedVersion, value));
            return this;
        }

        /** Adds the removal of a row that requires the given version. */
        public Builder remove(RowKey key, long expectedVersion) {
            mWrites.add(new Write(key, expectedVersion, null));
            return this;
        }

        /** Returns the number of writes. */
        public int size() {
            return mWrites.size();
        }

        /** Creates the transaction. */
        public RowTransaction build() {
            return new RowTransaction(mWrites);
        }
    }
}
