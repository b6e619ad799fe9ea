package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/** A commit transaction whose outcome is not known yet. Used by the flush thread only. */
final class InFlightCommit {
    /**
     * Limit of the log bytes that one transaction stores in rows; the rest is stored in objects.
     */
    static final int MAX_INLINE_BYTES = 16 << 10;

    private final String mCommitId;
    private final List<Part> mParts;
    private int mStoredObjectCount;

    /**
     * The part of the transaction that concerns one shard.
     *
     * @param shard the shard
     * @param work work to commit
     * @param before its row before the transaction
     * @param expectedVersion version that the row must have
     * @param segment log segment to write; null if there is none
     */
    record Part(
            OwnedShard shard,
            OwnedShard.FlushWork work,
            ShardRow before,
            long expectedVersion,
            OwnedShard.Segment segment) {
        /** Returns the row that the transaction writes. */
        ShardRow after() {
            ShardRow row = before;
            if (segment != null) {
                row = row.withSegment(segment.seq(), work.batch().size());
            }
            if (work.snapshotUpdate() != null) {
                row =
                        row.withSnapshot(
                                work.snapshotUpdate().lastSeq() + 1,
                                work.snapshotUpdate().snapshot());
            }
            if (work.release()) {
                String hint = work.successor() == null ? "" : work.successor().value();
                row = row.released(hint);
            }
            return row;
        }
    }

    /** Outcome of a transaction with a lost reply or a conflict. */
    enum Outcome {
        COMMITTED,
        NOT_COMMITTED
    }

    InFlightCommit(String commitId, List<Part> parts) {
        mCommitId = commitId;
        mParts = List.copyOf(parts);
    }

    /**
     * Creates a transaction whose largest segments are stored in objects, so that the remaining
     * ones fit into {@link #MAX_INLINE_BYTES}.
     */
    static InFlightCommit withObjects(String commitId, List<Part> parts) {
        List<Part> bySize = new ArrayList<>(parts);
        bySize.sort((a, b) -> Integer.compare(segmentBytes(b), segmentBytes(a)));
        int inlineBytes = bySize.stream().mapToInt(InFlightCommit::segmentBytes).sum();
        List<Part> placed = new ArrayList<>();
        for (Part part : bySize) {
            if (inlineBytes > MAX_INLINE_BYTES && part.segment() != null) {
                inlineBytes -= segmentBytes(part);
                placed.add(withObjectName(part));
            } else {
                placed.add(part);
            }
        }
        return new InFlightCommit(commitId, placed);
    }

    private static int segmentBytes(Part part) {
        return part.segment() == null ? 0 : part.segment().content().length;
    }

    private static Part withObjectName(Part part) {
        OwnedShard.Segment s = part.segment();
        String name = StoreRows.logObjectName(part.shard().id(), part.shard().fence(), s.seq());
        return new Part(
                part.shard(),
                part.work(),
                part.before(),
                part.expectedVersion(),
                new OwnedShard.Segment(s.seq(), s.content(), name));
    }

    List<Part> parts() {
        return mParts;
    }

    String commitId() {
        return mCommitId;
    }

    /** Returns the segments that are stored in objects, in the order of their writes. */
    List<OwnedShard.Segment> objects() {
        return mParts.stream()
                .map(Part::segment)
                .filter(segment -> segment != null && segment.object() != null)
                .toList();
    }

    int storedObjectCount() {
        return mStoredObjectCount;
    }

    void markObjectStored() {
        mStoredObjectCount++;
    }

    Transaction transaction() {
        Transaction.Builder tx = Transaction.builder(mCommitId);
        for (Part part : mParts) {
            tx.put(
                    StoreRows.shardKey(part.shard().id()),
                    part.expectedVersion(),
                    StoreRows.encode(part.after()));
            OwnedShard.Segment s = part.segment();
            if (s != null) {
                byte[] value =
                        s.object() == null
                                ? StoreRows.encodeInlineSegment(s.content())
                                : StoreRows.encodeObjectReference(s.object());
                tx.put(StoreRows.logKey(part.shard().id(), s.seq()), Row.ABSENT, value);
            }
            if (part.work().snapshotUpdate() != null) {
                long from = part.before().tailFrom();
                for (long seq = from; seq <= part.work().snapshotUpdate().lastSeq(); seq++) {
                    tx.delete(StoreRows.logKey(part.shard().id(), seq), Transaction.ANY_VERSION);
                }
            }
        }
        return tx.build();
    }

    /**
     * The current row of a part's shard.
     *
     * @param part the part
     * @param row content of the row
     * @param version version of the row
     * @param ownWrite whether the row was written by this transaction
     */
    record CurrentRow(Part part, ShardRow row, long version, boolean ownWrite) {
        /** Returns whether the row was written by another transaction. */
        boolean overwritten() {
            return !ownWrite && version != part.expectedVersion();
        }
    }

    /** Reads the shard rows again. */
    List<CurrentRow> readCurrentRows(TableStore table) {
        List<CurrentRow> currentRows = new ArrayList<>();
        for (Part part : mParts) {
            Optional<Row> row = table.read(StoreRows.shardKey(part.shard().id()));
            long version = row.map(Row::version).orElse(Row.ABSENT);
            boolean ownWrite = row.isPresent() && row.get().commitId().equals(mCommitId);
            ShardRow content = row.map(StoreRows::decodeShard).orElse(ShardRow.NEW);
            currentRows.add(new CurrentRow(part, content, version, ownWrite));
        }
        return currentRows;
    }

    /**
     * Determines whether the transaction was committed. One row with its commit identity is
     * sufficient, since a transaction is atomic. If a takeover has overwritten the shard row, the
     * log row still has the identity.
     */
    Outcome determineOutcome(List<CurrentRow> currentRows, TableStore table) {
        for (CurrentRow current : currentRows) {
            if (current.ownWrite()) {
                return Outcome.COMMITTED;
            }
        }
        for (CurrentRow current : currentRows) {
            OwnedShard.Segment segment = current.part().segment();
            if (current.overwritten() && segment != null) {
                String key = StoreRows.logKey(current.part().shard().id(), segment.seq());
                Optional<Row> log = table.read(key);
                if (log.isPresent() && log.get().commitId().equals(mCommitId)) {
                    return Outcome.COMMITTED;
                }
            }
        }
        return Outcome.NOT_COMMITTED;
    }
}
