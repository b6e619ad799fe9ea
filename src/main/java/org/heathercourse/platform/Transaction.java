package org.heathercourse.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A set of conditional writes that take effect atomically.
 *
 * @param commitId identity of this transaction, unique over all daemons; it is stored in each row
 *     that the transaction writes
 * @param writes the writes
 */
public record Transaction(String commitId, List<Write> writes) {
    /**
     * Copies the list of writes.
     *
     * @throws NullPointerException if the identity is null
     */
    public Transaction {
        Objects.requireNonNull(commitId, "commitId");
        writes = List.copyOf(writes);
    }

    /** Expected version of an unconditional write. */
    public static final long ANY_VERSION = -1;

    /**
     * One write.
     *
     * @param key key of the row
     * @param expectedVersion version that the row must have; {@link Row#ABSENT} if it must not
     *     exist, {@link #ANY_VERSION} for an unconditional write
     * @param value new content, or null to delete the row
     */
    public record Write(String key, long expectedVersion, byte[] value) {}

    /**
     * Returns a builder.
     *
     * @param commitId identity of the transaction
     * @return an empty builder
     */
    public static Builder builder(String commitId) {
        return new Builder(commitId);
    }

    /** Builds a transaction. Not safe for use by several threads. */
    public static final class Builder {
        private final String mCommitId;
        private final List<Write> mWrites = new ArrayList<>();

        private Builder(String commitId) {
            mCommitId = commitId;
        }

        /** Adds a write that requires the given version. */
        public Builder put(String key, long expectedVersion, byte[] value) {
            mWrites.add(new Write(key, expectedVersion, value));
            return this;
        }

        /** Adds a deletion that requires the given version. */
        public Builder delete(String key, long expectedVersion) {
            mWrites.add(new Write(key, expectedVersion, null));
            return this;
        }

        /** Creates the transaction. */
        public Transaction build() {
            return new Transaction(mCommitId, mWrites);
        }
    }
}
