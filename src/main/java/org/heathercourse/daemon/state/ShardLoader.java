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

/** Reads the log of a shard after its row was taken. Stateless. */
final class ShardLoader {
    private final TableStore mTable;
    private final ObjectStore mObjects;

    ShardLoader(TableStore table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
    }

    /**
     * Folds snapshot and tail.
     *
     * @param shard the shard
     * @param row its row as this daemon has written it
     * @param version version of that row
     * @param released whether the previous owner had released the shard
     * @param nowMillis present ticker time
     * @return the shard, ready to serve
     */
    OwnedShard load(ShardId shard, ShardRow row, long version, boolean released, long nowMillis) {
        ShardState state = new ShardState(nowMillis);
        for (ShardRow.SnapshotPart part : row.snapshot()) {
            LogCodec.decode(object(part.name()), state);
        }
        List<OwnedShard.Segment> tail = tail(shard, row);
        tail.forEach(segment -> LogCodec.decode(segment.content(), state));
        byte[] mark = null;
        if (released && state.hasIntent()) {
            mark = LogCodec.releaseFrame();
            state.release();
        } else if (!released && state.changedByTakeover()) {
            mark = LogCodec.takeoverFrame();
            state.takeover();
        }
        return new OwnedShard(shard, row, version, state, tail, mark);
    }

    private List<OwnedShard.Segment> tail(ShardId shard, ShardRow row) {
        List<OwnedShard.Segment> tail = new ArrayList<>();
        List<Row> rows = StoreRows.scan(mTable, StoreRows.logPrefix(shard));
        long next = row.tailFrom();
        for (Row log : rows) {
            String expected = StoreRows.logKey(shard, next);
            if (!log.key().equals(expected)) {
                throw StoreRows.damaged("row is " + log.key() + ", expected " + expected, null);
            }
            String object = StoreRows.objectName(log.value());
            byte[] content = object == null ? StoreRows.inlineContent(log.value()) : object(object);
            tail.add(new OwnedShard.Segment(next, content, object));
            next++;
        }
        if (next != row.seq() + 1) {
            throw StoreRows.damaged(
                    "log of shard " + shard + " ends before " + next + ", expected " + row.seq(),
                    null);
        }
        return tail;
    }

    private byte[] object(String name) {
        return mObjects.get(name)
                .orElseThrow(() -> StoreRows.damaged("object " + name + " is missing", null));
    }

    /**
     * Deletes objects that no row names: leftovers of writes that were never committed and of
     * deletions that failed. Only objects of earlier fences are touched, as later owners may
     * already have written their own.
     */
    void sweep(ShardId shard, ShardRow row, List<OwnedShard.Segment> tail) {
        Set<String> named = new TreeSet<>();
        row.snapshot().forEach(part -> named.add(part.name()));
        tail.forEach(segment -> named.add(String.valueOf(segment.object())));
        for (String prefix : List.of(StoreRows.logPrefix(shard), StoreRows.snapshotPrefix(shard))) {
            for (String name : mObjects.list(prefix)) {
                if (!named.contains(name) && StoreRows.fenceOf(prefix, name) < row.fence()) {
                    mObjects.delete(name);
                }
            }
        }
    }
}
