package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.program.LogCodec;
import org.heathercourse.core.program.ShardState;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;

/** Loads a shard from its snapshot and log after a takeover. Stateless. */
final class ShardLoader {
    private final TableStore mTable;
    private final ObjectStore mObjects;

    ShardLoader(TableStore table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
    }

    /**
     * Replays the snapshot and the tail of the log.
     *
     * @param shard the shard
     * @param row its row after the takeover
     * @param version version of that row
     * @param released whether the previous owner had released the shard
     * @param nowMillis current ticker time in milliseconds
     * @return the shard, ready to serve
     * @throws org.heathercourse.core.error.HeathercourseException of kind INTERNAL if the log is
     *     incomplete or cannot be decoded
     */
    OwnedShard load(ShardId shard, ShardRow row, long version, boolean released, long nowMillis) {
        ShardState state = new ShardState(nowMillis);
        for (ShardRow.SnapshotPart part : row.snapshot()) {
            LogCodec.decode(readObject(part.name()), state);
        }
        List<OwnedShard.Segment> tail = readTail(shard, row);
        tail.forEach(segment -> LogCodec.decode(segment.content(), state));
        byte[] ownerChangeFrame = null;
        if (released && state.hasIntent()) {
            ownerChangeFrame = LogCodec.releaseFrame();
            state.release();
        } else if (!released && state.changedByTakeover()) {
            ownerChangeFrame = LogCodec.takeoverFrame();
            state.takeover();
        }
        return new OwnedShard(shard, row, version, state, tail, ownerChangeFrame);
    }

    private List<OwnedShard.Segment> readTail(ShardId shard, ShardRow row) {
        List<OwnedShard.Segment> tail = new ArrayList<>();
        List<Row> rows = StoreRows.scan(mTable, StoreRows.logPrefix(shard));
        long next = row.tailFrom();
        for (Row log : rows) {
            String expected = StoreRows.logKey(shard, next);
            if (!log.key().equals(expected)) {
                throw StoreRows.corrupted("row is " + log.key() + ", expected " + expected, null);
            }
            String object = StoreRows.decodeObjectName(log.value());
            byte[] content =
                    object == null
                            ? StoreRows.decodeInlineSegment(log.value())
                            : readObject(object);
            tail.add(new OwnedShard.Segment(next, content, object));
            next++;
        }
        if (next != row.seq() + 1) {
            throw StoreRows.corrupted(
                    "log of shard " + shard + " ends before " + next + ", expected " + row.seq(),
                    null);
        }
        return tail;
    }

    private byte[] readObject(String name) {
        return mObjects.get(name)
                .orElseThrow(() -> StoreRows.corrupted("object " + name + " is missing", null));
    }

    /**
     * Deletes objects that no row refers to, left by writes that were never committed and by failed
     * deletions. Only objects of earlier fencing numbers are deleted, since this or a later owner
     * may already have written new ones.
     */
    void deleteOrphanedObjects(ShardId shard, ShardRow row, List<OwnedShard.Segment> tail) {
        Set<String> referenced = new TreeSet<>();
        row.snapshot().forEach(part -> referenced.add(part.name()));
        tail.forEach(segment -> referenced.add(String.valueOf(segment.object())));
        for (String prefix : List.of(StoreRows.logPrefix(shard), StoreRows.snapshotPrefix(shard))) {
            for (String name : mObjects.list(prefix)) {
                if (!referenced.contains(name) && StoreRows.fenceOf(prefix, name) < row.fence()) {
                    mObjects.delete(name);
                }
            }
        }
    }
}
