package org.heathercourse.daemon.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * Content of the row {@code shard/<n>}. The identity of its last commit is the one of the row.
 *
 * <p>The tail is given by its first and last number only, so that the row stays small: every daemon
 * reads all shard rows every second.
 *
 * @param owner VM that owns the shard, empty after a release
 * @param incarnation incarnation of the owner
 * @param fence number of the last change of owner
 * @param seq number of the last log segment, 0 if there was none
 * @param tailFrom number of the first log segment that is not in the snapshot
 * @param snapshot objects that hold the log before the tail, in order
 * @param hint VM that should take a released shard, empty if none
 * @param records number of appends that the log holds since the shard exists; appends are numbered
 *     consecutively from 1, so that copies in other daemons are not applied twice
 * @param servedFence newest fence whose owner may have served; only copies sent under it continue
 *     the log
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
    /** The state of a shard that no daemon has ever owned. */
    static final ShardRow NEW = new ShardRow("", 0, 0, 0, 1, List.of(), "", 0, 0);

    ShardRow {
        snapshot = List.copyOf(snapshot);
    }

    /**
     * One object of a snapshot.
     *
     * @param name name of the object
     * @param bytes its size
     * @param base whether it holds whole programs; otherwise log segments that follow them
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"name", "bytes", "base"})
    record SnapshotPart(String name, long bytes, boolean base) {}

    boolean owned() {
        return !owner.isEmpty();
    }

    /**
     * Returns the row of a new owner. A released shard has no records outside its log, so its new
     * owner may serve at once.
     */
    ShardRow takenBy(String newOwner, long newIncarnation) {
        long served = owned() ? servedFence : fence + 1;
        return new ShardRow(
                newOwner, newIncarnation, fence + 1, seq, tailFrom, snapshot, "", records, served);
    }

    ShardRow released(String successor) {
        return new ShardRow("", 0, fence, seq, tailFrom, snapshot, successor, records, servedFence);
    }

    /** Returns the row after a log segment with further appends. */
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
    ShardRow served() {
        return new ShardRow(
                owner, incarnation, fence, seq, tailFrom, snapshot, hint, records, fence);
    }

    ShardRow withSnapshot(long newTailFrom, List<SnapshotPart> parts) {
        return new ShardRow(
                owner, incarnation, fence, seq, newTailFrom, parts, hint, records, servedFence);
    }
}
