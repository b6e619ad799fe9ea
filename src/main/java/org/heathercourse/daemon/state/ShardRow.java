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
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"owner", "incarnation", "fence", "seq", "tailFrom", "snapshot", "hint"})
record ShardRow(
        String owner,
        long incarnation,
        long fence,
        long seq,
        long tailFrom,
        List<SnapshotPart> snapshot,
        String hint) {
    /** The state of a shard that no daemon has ever owned. */
    static final ShardRow NEW = new ShardRow("", 0, 0, 0, 1, List.of(), "");

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

    ShardRow takenBy(String newOwner, long newIncarnation) {
        return new ShardRow(newOwner, newIncarnation, fence + 1, seq, tailFrom, snapshot, "");
    }

    ShardRow released(String successor) {
        return new ShardRow("", 0, fence, seq, tailFrom, snapshot, successor);
    }

    ShardRow withSeq(long newSeq) {
        return new ShardRow(owner, incarnation, fence, newSeq, tailFrom, snapshot, hint);
    }

    ShardRow withSnapshot(long newTailFrom, List<SnapshotPart> parts) {
        return new ShardRow(owner, incarnation, fence, seq, newTailFrom, parts, hint);
    }
}
