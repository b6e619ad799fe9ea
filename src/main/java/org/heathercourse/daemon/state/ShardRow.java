package org.heathercourse.daemon.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * Content of the row {@code shard/<n>}. Immutable.
 *
 * <p>The tail is stored as its first and last sequence number only to keep the row small, since
 * every daemon reads all shard rows every second.
 *
 * @param owner VM that owns the shard; empty after a release
 * @param incarnation incarnation of the owner
 * @param fence fencing number, increased with each change of owner
 * @param seq sequence number of the last log segment; 0 if there is none
 * @param tailFrom sequence number of the first log segment that is not part of the snapshot
 * @param snapshot objects that hold the log before the tail, in order
 * @param hint VM that should take over a released shard; empty if there is none
 * @param records number of appends written to the log since the creation of the shard; appends are
 *     numbered consecutively from 1, so that replicas in other daemons are not applied twice
 * @param servedFence latest fencing number whose owner may have served; only replicas written under
 *     it continue the log
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "owner",
    "incarnation",
    "fence",
    "seq",
    "tailFrom",
    "snapshot",
    "hint",
    "records",
    "servedFence"
})
record ShardRow(
        String owner,
        long incarnation,
        long fence,
        long seq,
        long tailFrom,
        List<SnapshotPart> snapshot,
        String hint,
        long records,
        long servedFence) {
    /** The row of a shard that has never had an owner. */
    static final ShardRow NEW = new ShardRow("", 0, 0, 0, 1, List.of(), "", 0, 0);

    ShardRow {
        snapshot = List.copyOf(snapshot);
    }

    /**
     * One object of a snapshot.
     *
     * @param name name of the object
     * @param bytes its size in bytes
     * @param base whether it is part of a full snapshot of the programs; otherwise it holds log
     *     segments that follow the full snapshot
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"name", "bytes", "base"})
    record SnapshotPart(String name, long bytes, boolean base) {}

    boolean owned() {
        return !owner.isEmpty();
    }

    /**
     * Returns the row for a new owner. A released shard has no records outside its log, so its new
     * owner may serve without recovery of replicas.
     */
    ShardRow takenBy(String newOwner, long newIncarnation) {
        long served = owned() ? servedFence : fence + 1;
        return new ShardRow(
                newOwner, newIncarnation, fence + 1, seq, tailFrom, snapshot, "", records, served);
    }

    ShardRow released(String successor) {
        return new ShardRow("", 0, fence, seq, tailFrom, snapshot, successor, records, servedFence);
    }

    /** Returns the row with a further log segment. */
    ShardRow withSegment(long newSeq, int appends) {
        return new ShardRow(
                owner,
                incarnation,
                fence,
                newSeq,
                tailFrom,
                snapshot,
                hint,
                records + appends,
                servedFence);
    }

    /** Returns the row that allows its owner to serve. */
    ShardRow withServingAllowed() {
        return new ShardRow(
                owner, incarnation, fence, seq, tailFrom, snapshot, hint, records, fence);
    }

    ShardRow withSnapshot(long newTailFrom, List<SnapshotPart> parts) {
        return new ShardRow(
                owner, incarnation, fence, seq, newTailFrom, parts, hint, records, servedFence);
    }
}
