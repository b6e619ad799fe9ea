package org.heathercourse.daemon.state;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.program.LogCodec;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.StoreException;

/**
 * Moves the tail of a shard's log into snapshot objects.
 *
 * <p>A full snapshot for each megabyte of log would cause a write amplification in proportion to
 * the size of the shard, which is hundreds of megabytes at the target size. The tail is therefore
 * merged into one incremental object that follows the last full snapshot, together with the
 * preceding incremental objects of at most twice its size, so that their number grows with the
 * logarithm of the log size. A full snapshot is written when the incremental objects have reached
 * the size of the last one. Thread-safe.
 */
final class Compactor {
    /** Number of tail segments above which the tail is compacted. */
    static final int MAX_TAIL_SEGMENTS = 64;

    /** Size of the tail above which it is compacted, in bytes. */
    static final long MAX_TAIL_BYTES = 1 << 20;

    /** Size at which an object of a full snapshot is completed, in bytes. */
    private static final int SNAPSHOT_OBJECT_BYTES = 32 << 20;

    private final ObjectStore mObjects;
    private final AtomicInteger mLastObjectNumber = new AtomicInteger();

    Compactor(ObjectStore objects) {
        mObjects = objects;
    }

    /**
     * Input of a compaction: the state of a shard after a flush.
     *
     * @param row row of the shard
     * @param tail log segments that are not part of the snapshot
     * @param programs the durable state of all programs
     */
    record Capture(ShardRow row, List<OwnedShard.Segment> tail, List<ProgramState> programs) {}

    /** Captures a shard; called on the flush thread while no commit is in progress. */
    static Capture capture(OwnedShard shard) {
        return new Capture(shard.row(), shard.tail(), shard.durablePrograms());
    }

    /**
     * Writes the objects of the new snapshot.
     *
     * @return the update that the next flush writes into the row
     * @throws StoreException if the object store does not answer
     */
    OwnedShard.SnapshotUpdate compact(OwnedShard shard, Capture capture) {
        ShardRow row = capture.row();
        long baseBytes = totalBytes(row.snapshot(), true);
        long followingBytes = totalBytes(row.snapshot(), false);
        for (OwnedShard.Segment segment : capture.tail()) {
            followingBytes += segment.content().length;
        }
        List<ShardRow.SnapshotPart> parts = new ArrayList<>();
        List<ShardRow.SnapshotPart> replaced = new ArrayList<>();
        if (followingBytes >= Math.max(MAX_TAIL_BYTES, baseBytes)) {
            writePrograms(shard, capture, parts);
            replaced.addAll(row.snapshot());
        } else {
            parts.addAll(row.snapshot());
            mergeTail(shard, capture, parts, replaced);
        }
        return new OwnedShard.SnapshotUpdate(parts, row.seq(), replaced);
    }

    private void mergeTail(
            OwnedShard shard,
            Capture capture,
            List<ShardRow.SnapshotPart> parts,
            List<ShardRow.SnapshotPart> replaced) {
        long size = capture.tail().stream().mapToLong(segment -> segment.content().length).sum();
        Deque<byte[]> contents = new ArrayDeque<>();
        capture.tail().forEach(segment -> contents.addLast(segment.content()));
        while (!parts.isEmpty()) {
            ShardRow.SnapshotPart last = parts.get(parts.size() - 1);
            if (last.base() || last.bytes() > 2 * size) {
                break;
            }
            byte[] content =
                    mObjects.get(last.name())
                            .orElseThrow(
                                    () ->
                                            StoreRows.corrupted(
                                                    "object " + last.name() + " is missing", null));
            contents.addFirst(content);
            size += last.bytes();
            replaced.add(parts.remove(parts.size() - 1));
        }
        ByteArrayOutputStream merged = new ByteArrayOutputStream();
        contents.forEach(merged::writeBytes);
        parts.add(put(shard, capture.row(), merged, false));
    }

    private void writePrograms(
            OwnedShard shard, Capture capture, List<ShardRow.SnapshotPart> parts) {
        ByteArrayOutputStream part = new ByteArrayOutputStream();
        for (ProgramState program : capture.programs()) {
            part.writeBytes(LogCodec.encode(program));
            if (part.size() >= SNAPSHOT_OBJECT_BYTES) {
                parts.add(put(shard, capture.row(), part, true));
                part = new ByteArrayOutputStream();
            }
        }
        if (part.size() > 0) {
            parts.add(put(shard, capture.row(), part, true));
        }
    }

    private ShardRow.SnapshotPart put(
            OwnedShard shard, ShardRow row, ByteArrayOutputStream content, boolean base) {
        String name =
                StoreRows.snapshotObjectName(
                        shard.id(), row.fence(), row.seq(), mLastObjectNumber.incrementAndGet());
        mObjects.put(name, content.toByteArray());
        return new ShardRow.SnapshotPart(name, content.size(), base);
    }

    private static long totalBytes(List<ShardRow.SnapshotPart> parts, boolean base) {
        return parts.stream()
                .filter(part -> part.base() == base)
                .mapToLong(ShardRow.SnapshotPart::bytes)
                .sum();
    }
}
