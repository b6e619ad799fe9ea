package org.heathercourse.daemon.state;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.LogCodec;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Finds the records that a crashed owner could only copy to other daemons and appends them to the
 * log, before the new owner serves. Stateless; the writes run on the control thread.
 */
final class ReplicaRecovery {
    private static final EventLog LOG = EventLog.of(ReplicaRecovery.class);

    /** A daemon that does not answer must not hold up the takeover, which has 10 s in all. */
    private static final long QUERY_MILLIS = 1_000;

    /** Size of a log segment, small enough for the timeout of the object store. */
    private static final int SEGMENT_BYTES = 4 << 20;

    private final ReplicaStore mOwn;
    private final DaemonInfo mSelf;
    private final Supplier<PeerNetwork> mPeers;
    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final Supplier<String> mCommitIds;

    /** A row as written and its version. */
    record Written(ShardRow row, long version) {}

    ReplicaRecovery(
            DaemonInfo self,
            ReplicaStore own,
            Supplier<PeerNetwork> peers,
            TableStore table,
            ObjectStore objects,
            Supplier<String> commitIds) {
        mSelf = self;
        mOwn = own;
        mPeers = peers;
        mTable = table;
        mObjects = objects;
        mCommitIds = commitIds;
    }

    /**
     * Asks the daemons for records that follow the log.
     *
     * @param shard the shard
     * @param row its row as taken
     * @param live live daemons
     * @return the frames that follow the log without a gap; never fails
     */
    CompletableFuture<List<byte[]>> collect(
            ShardId shard, ShardRow row, Collection<DaemonInfo> live) {
        TreeMap<Long, byte[]> found = new TreeMap<>();
        long from = row.records() + 1;
        PeerMessage.ReplicaQuery query =
                new PeerMessage.ReplicaQuery(shard.index(), row.fence(), from);
        PeerMessage.ReplicaRecords own = mOwn.query(query);
        while (keep(own, row, found)) {
            own = mOwn.query(next(query, own));
        }
        List<CompletableFuture<Void>> asked = new ArrayList<>();
        for (DaemonInfo daemon : ReplicaHolders.asked(shard, live)) {
            if (mPeers != null && !daemon.vm().equals(mSelf.vm())) {
                asked.add(ask(daemon, query, row, found));
            }
        }
        return CompletableFuture.allOf(asked.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> run(shard, from, found));
    }

    private CompletableFuture<Void> ask(
            DaemonInfo daemon,
            PeerMessage.ReplicaQuery query,
            ShardRow row,
            TreeMap<Long, byte[]> found) {
        return mPeers.get()
                .request(daemon, query, PeerMessage.ReplicaRecords.class, QUERY_MILLIS)
                .thenCompose(
                        reply ->
                                keep(reply, row, found)
                                        ? ask(daemon, next(query, reply), row, found)
                                        : CompletableFuture.<Void>completedFuture(null))
                .exceptionally(
                        e -> {
                            LOG.info("copies_not_read", "vm", daemon.vm(), "cause", e.getMessage());
                            return null;
                        });
    }

    /** Keeps the records of a reply and returns whether to ask for more. */
    private static boolean keep(
            PeerMessage.ReplicaRecords reply, ShardRow row, TreeMap<Long, byte[]> found) {
        if (reply.fence() != row.servedFence() || reply.records().isEmpty()) {
            return false;
        }
        synchronized (found) {
            long number = reply.fromNumber();
            for (byte[] record : reply.records()) {
                found.putIfAbsent(number++, record);
            }
        }
        return reply.more();
    }

    private static PeerMessage.ReplicaQuery next(
            PeerMessage.ReplicaQuery query, PeerMessage.ReplicaRecords reply) {
        return new PeerMessage.ReplicaQuery(
                query.shard(), query.beforeFence(), reply.fromNumber() + reply.records().size());
    }

    private static List<byte[]> run(ShardId shard, long from, TreeMap<Long, byte[]> found) {
        synchronized (found) {
            List<byte[]> run = new ArrayList<>();
            for (byte[] frame = found.get(from);
                    frame != null;
                    frame = found.get(from + run.size())) {
                run.add(frame);
            }
            int beyond = found.tailMap(from + run.size()).size();
            if (beyond > 0) {
                LOG.warn("copies_with_gap", "shard", shard, "after", from + run.size() - 1);
            }
            return run;
        }
    }

    /**
     * Appends frames to the log and allows this daemon to serve.
     *
     * @param shard the shard
     * @param taken its row as taken
     * @param frames frames that follow the log; may be empty
     * @return the row as written; empty if another daemon has written it
     * @throws StoreException if the store does not answer; the row then tells how far it came
     */
    Optional<Written> append(ShardId shard, Written taken, List<byte[]> frames) {
        Written now = taken;
        int next = 0;
        do {
            ByteArrayOutputStream segment = new ByteArrayOutputStream();
            int appends = 0;
            while (next < frames.size() && segment.size() < SEGMENT_BYTES) {
                segment.writeBytes(frames.get(next++));
                appends++;
            }
            if (next == frames.size() && now.row().seq() + appends > 0) {
                // Records of this owner that are only copied presuppose the change of owner.
                segment.writeBytes(LogCodec.takeoverFrame());
            }
            Optional<Written> written =
                    write(shard, now, segment.toByteArray(), appends, next == frames.size());
            if (written.isEmpty()) {
                return written;
            }
            now = written.get();
        } while (next < frames.size());
        if (!frames.isEmpty()) {
            LOG.info("copies_written", "shard", shard, "records", frames.size());
        }
        return Optional.of(now);
    }

    /** Tells the daemons that the copies of earlier owners are not needed any more. */
    void drop(ShardId shard, ShardRow row, Collection<DaemonInfo> live) {
        mOwn.drop(new PeerMessage.ReplicaDrop(shard.index(), row.fence(), row.records()));
        for (DaemonInfo daemon : ReplicaHolders.asked(shard, live)) {
            if (mPeers != null && !daemon.vm().equals(mSelf.vm())) {
                PendingReplicator.drop(mPeers.get(), daemon, shard, row.fence(), row.records());
            }
        }
    }

    private Optional<Written> write(
            ShardId shard, Written before, byte[] segment, int appends, boolean last) {
        String commitId = mCommitIds.get();
        ShardRow row = before.row();
        Transaction.Builder tx = Transaction.builder(commitId);
        if (segment.length > 0) {
            long seq = row.seq() + 1;
            byte[] value = StoreRows.inlineSegment(segment);
            if (segment.length > Flight.INLINE_BYTES) {
                String name = StoreRows.logObject(shard, row.fence(), seq);
                mObjects.put(name, segment);
                value = StoreRows.segmentObject(name);
            }
            row = row.withSegment(seq, appends);
            tx.put(StoreRows.logKey(shard, seq), Row.ABSENT, value);
        }
        row = last ? row.served() : row;
        String key = StoreRows.shardKey(shard);
        tx.put(key, before.version(), StoreRows.encode(row));
        try {
            CommitResult result = mTable.commit(tx.build());
            for (Row written : result.committed() ? result.rows() : List.<Row>of()) {
                if (written.key().equals(key)) {
                    return Optional.of(new Written(row, written.version()));
                }
            }
            return Optional.empty();
        } catch (StoreException e) {
            if (!e.outcomeUnknown()) {
                throw e;
            }
            Optional<Row> now = mTable.read(key);
            if (now.isPresent() && now.get().commitId().equals(commitId)) {
                return Optional.of(new Written(row, now.get().version()));
            }
            throw e;
        }
    }
}
