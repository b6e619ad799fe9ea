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
 * <p>Writing all programs for each megabyte of log would multiply the written bytes by the size of
 * the shard, which is hundreds of megabytes at the target size. The tail is therefore joined to one
 * object that follows the last whole snapshot, together with the objects before it that are not
 * larger than twice its size, so that their number grows with the logarithm of the log. A whole
 * snapshot is written when the objects that follow it have grown to its size.
 */
final class Compactor {
    /** Segments of a tail beyond which it is moved. */
    static final int TAIL_SEGMENTS = 64;

    /** Bytes of a tail beyond which it is moved. */
    static final long TAIL_BYTES = 1 << 20;

    /** Size of the objects of a whole snapshot, in bytes. */
    private static final int PART_BYTES = 32 << 20;

    private final ObjectStore mObjects;
    private final AtomicInteger mNames = new AtomicInteger();

    Compactor(ObjectStore objects) {
        mObjects = objects;
    }

    /** State of a shard at the end of a flush, from which a snapshot is made. */
    record Capture(ShardRow row, List<OwnedShard.Segment> tail, List<ProgramState> programs) {}

    /** Captures a shard on the flush thread, where no commit is under way. */
    static Capture capture(OwnedShard shard) {
        return new Capture(shard.row(), shard.tail(), shard.durablePrograms());
    }

    /**
     * Writes the objects.
     *
     * @return the cut that the next flush puts into the row
     * @throws StoreException if the object store does not answer
     */
    OwnedShard.Cut compact(OwnedShard shard, Capture capture) {
        ShardRow row = capture.row();
        long base = sum(row.snapshot(), true);
        long following = sum(row.snapshot(), false);
        for (OwnedShard.Segment segment : capture.tail()) {
            following += segment.content().length;
        }
        List<ShardRow.SnapshotPart> parts = new ArrayList<>();
        List<ShardRow.SnapshotPart> old = new ArrayList<>();
        if (following >= Math.max(TAIL_BYTES, base)) {
            writePrograms(shard, capture, parts);
            old.addAll(row.snapshot());
        } else {
            parts.addAll(row.snapshot());
            joinTail(shard, capture, parts, old);
        }
        return new OwnedShard.Cut(parts, row.seq(), old);
    }

    private void joinTail(
            OwnedShard shard,
            Capture capture,
            List<ShardRow.SnapshotPart> parts,
            List<ShardRow.SnapshotPart> old) {
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
                                            StoreRows.damaged(
                                                    "object " + last.name() + " is missing", null));
            contents.addFirst(content);
            size += last.bytes();
            old.add(parts.remove(parts.size() - 1));
        }
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        contents.forEach(joined::writeBytes);
        parts.add(put(shard, capture.row(), joined, false));
    }

    private void writePrograms(
            OwnedShard shard, Capture capture, List<ShardRow.SnapshotPart> parts) {
        ByteArrayOutputStream part = new ByteArrayOutputStream();
        for (ProgramState program : capture.programs()) {
            part.writeBytes(LogCodec.encode(program));
            if (part.size() >= PART_BYTES) {
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
                StoreRows.snapshotObject(
                        shard.id(), row.fence(), row.seq(), mNames.incrementAndGet());
        mObjects.put(name, content.toByteArray());
        return new ShardRow.SnapshotPart(name, content.size(), base);
    }

    private static long sum(List<ShardRow.SnapshotPart> parts, boolean base) {
        return parts.stream()
                .filter(part -> part.base() == base)
                .mapToLong(ShardRow.SnapshotPart::bytes)
                .sum();
    }
}
