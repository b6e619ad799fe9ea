package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/** One commit transaction on its way to the store. Used by the flush thread only. */
final class Flight {
    /** Bytes of log that one transaction carries in rows; larger segments become objects. */
    static final int INLINE_BYTES = 16 << 10;

    private final String mCommitId;
    private final List<Part> mParts;
    private int mObjectsStored;

    /**
     * What the transaction does for one shard.
     *
     * @param shard the shard
     * @param work what was taken from it
     * @param before its row
     * @param expectedVersion version that the row must have
     * @param segment log segment to write, null if there is none
     */
    record Part(
            OwnedShard shard,
            OwnedShard.Work work,
            ShardRow before,
            long expectedVersion,
            OwnedShard.Segment segment) {
        /** Returns the row as the transaction writes it. */
        ShardRow after() {
            ShardRow row = before;
            if (segment != null) {
                row = row.withSegment(segment.seq(), work.batch().size());
            }
            if (work.cut() != null) {
                row = row.withSnapshot(work.cut().upToSeq() + 1, work.cut().snapshot());
            }
            if (work.release()) {
                String hint = work.successor() == null ? "" : work.successor().value();
                row = row.released(hint);
            }
            return row;
        }
    }

    /** How a transaction with a lost reply or a conflict turned out. */
    enum Outcome {
        TOOK_EFFECT,
        NO_EFFECT
    }

    Flight(String commitId, List<Part> parts) {
        mCommitId = commitId;
        mParts = List.copyOf(parts);
    }

    /** Chooses rows or objects for the segments, largest segments first into objects. */
    static Flight of(String commitId, List<Part> parts) {
        List<Part> bySize = new ArrayList<>(parts);
        bySize.sort((a, b) -> Integer.compare(size(b), size(a)));
        int inline = bySize.stream().mapToInt(Flight::size).sum();
        List<Part> chosen = new ArrayList<>();
        for (Part part : bySize) {
            if (inline > INLINE_BYTES && part.segment() != null) {
                inline -= size(part);
                chosen.add(asObject(part));
            } else {
                chosen.add(part);
            }
        }
        return new Flight(commitId, chosen);
    }

    private static int size(Part part) {
        return part.segment() == null ? 0 : part.segment().content().length;
    }

    private static Part asObject(Part part) {
        OwnedShard.Segment s = part.segment();
        String name = StoreRows.logObject(part.shard().id(), part.shard().fence(), s.seq());
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

    /** Returns the parts with an object, in the order in which the objects are stored. */
    List<OwnedShard.Segment> objects() {
        return mParts.stream()
                .map(Part::segment)
                .filter(segment -> segment != null && segment.object() != null)
                .toList();
    }

    int objectsStored() {
        return mObjectsStored;
    }

    void objectStored() {
        mObjectsStored++;
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
                                ? StoreRows.inlineSegment(s.content())
                                : StoreRows.segmentObject(s.object());
                tx.put(StoreRows.logKey(part.shard().id(), s.seq()), Row.ABSENT, value);
            }
            if (part.work().cut() != null) {
                long from = part.before().tailFrom();
                for (long seq = from; seq <= part.work().cut().upToSeq(); seq++) {
                    tx.delete(StoreRows.logKey(part.shard().id(), seq), Transaction.ANY_VERSION);
                }
            }
        }
        return tx.build();
    }

    /** The present row of a part's shard and what it says. */
    record Reading(Part part, ShardRow row, long version, boolean ours) {
        /** Returns whether another daemon has written the row. */
        boolean lost() {
            return !ours && version != part.expectedVersion();
        }
    }

    /** Reads the shard rows again. */
    List<Reading> read(TableStore table) {
        List<Reading> readings = new ArrayList<>();
        for (Part part : mParts) {
            Optional<Row> row = table.read(StoreRows.shardKey(part.shard().id()));
            long version = row.map(Row::version).orElse(Row.ABSENT);
            boolean ours = row.isPresent() && row.get().commitId().equals(mCommitId);
            ShardRow content = row.map(StoreRows::shard).orElse(ShardRow.NEW);
            readings.add(new Reading(part, content, version, ours));
        }
        return readings;
    }

    /**
     * Decides whether the transaction took effect. One row with its identity is enough, since all
     * writes of a transaction take effect together; after a takeover the log row still has it.
     */
    Outcome outcome(List<Reading> readings, TableStore table) {
        for (Reading reading : readings) {
            if (reading.ours()) {
                return Outcome.TOOK_EFFECT;
            }
        }
        for (Reading reading : readings) {
            OwnedShard.Segment segment = reading.part().segment();
            if (reading.lost() && segment != null) {
                String key = StoreRows.logKey(reading.part().shard().id(), segment.seq());
                Optional<Row> log = table.read(key);
                if (log.isPresent() && log.get().commitId().equals(mCommitId)) {
                    return Outcome.TOOK_EFFECT;
                }
            }
        }
        return Outcome.NO_EFFECT;
    }
}
