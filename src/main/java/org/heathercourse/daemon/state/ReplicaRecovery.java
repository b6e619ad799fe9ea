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
 * Recovers the appends that a crashed owner had only replicated and writes them to the log before
 * the new owner serves. Stateless; the writes run on the control thread.
 */
final class ReplicaRecovery {
    private static final EventLog LOG = EventLog.of(ReplicaRecovery.class);

    /** An unresponsive daemon must not delay the takeover, which has to complete within 10 s. */
    private static final long QUERY_TIMEOUT_MILLIS = 1_000;

    /** Size at which a log segment is completed, small enough for the object store's timeout. */
    private static final int SEGMENT_BYTES = 4 << 20;

    private final ReplicaStore mLocalReplicas;
    private final DaemonInfo mSelf;
    private final Supplier<PeerNetwork> mPeers;
    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final Supplier<String> mCommitIds;

    /** A row and its version. */
    record VersionedRow(ShardRow row, long version) {}

    ReplicaRecovery(
            DaemonInfo self,
            ReplicaStore localReplicas,
            Supplier<PeerNetwork> peers,
            TableStore table,
            ObjectStore objects,
            Supplier<String> commitIds) {
        mSelf = self;
        mLocalReplicas = localReplicas;
        mPeers = peers;
        mTable = table;
        mObjects = objects;
        mCommitIds = commitIds;
    }

    /**
     * Queries the daemons for appends that follow the log.
     *
     * @param shard the shard
     * @param row its row after the takeover
     * @param live live daemons
     * @return the frames that follow the log without a gap; never fails
     */
    CompletableFuture<List<byte[]>> collect(
            ShardId shard, ShardRow row, Collection<DaemonInfo> live) {
        TreeMap<Long, byte[]> found = new TreeMap<>();
        long from = row.records() + 1;
        PeerMessage.ReplicaQuery query =
                new PeerMessage.ReplicaQuery(shard.index(), row.fence(), from);
        PeerMessage.ReplicaRecords reply = mLocalReplicas.query(query);
        while (addRecords(reply, row, found)) {
            reply = mLocalReplicas.query(nextPage(query, reply));
        }
        List<CompletableFuture<Void>> queries = new ArrayList<>();
        for (DaemonInfo daemon : ReplicaHolders.queryTargets(shard, live)) {
            if (mPeers != null && !daemon.vm().equals(mSelf.vm())) {
                queries.add(query(daemon, query, row, found));
            }
        }
        return CompletableFuture.allOf(queries.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> contiguousFrames(shard, from, found));
    }

    private CompletableFuture<Void> query(
            DaemonInfo daemon,
            PeerMessage.ReplicaQuery query,
            ShardRow row,
            TreeMap<Long, byte[]> found) {
        return mPeers.get()
                .request(daemon, query, PeerMessage.ReplicaRecords.class, QUERY_TIMEOUT_MILLIS)
                .thenCompose(
                        reply ->
                                addRecords(reply, row, found)
                                        ? query(daemon, nextPage(query, reply), row, found)
                                        : CompletableFuture.<Void>completedFuture(null))
                .exceptionally(
                        e -> {
                            LOG.info(
                                    "replica_query_failed",
                                    "vm",
                                    daemon.vm(),
                                    "cause",
                                    e.getMessage());
                            return null;
                        });
    }

    /** Adds the records of a reply and returns whether to query the next page. */
    private static boolean addRecords(
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

    private static PeerMessage.ReplicaQuery nextPage(
            PeerMessage.ReplicaQuery query, PeerMessage.ReplicaRecords reply) {
        return new PeerMessage.ReplicaQuery(
                query.shard(), query.beforeFence(), reply.fromNumber() + reply.records().size());
    }

    private static List<byte[]> contiguousFrames(
            ShardId shard, long from, TreeMap<Long, byte[]> found) {
        synchronized (found) {
            List<byte[]> contiguous = new ArrayList<>();
            for (byte[] frame = found.get(from);
                    frame != null;
                    frame = found.get(from + contiguous.size())) {
                contiguous.add(frame);
            }
            int afterGap = found.tailMap(from + contiguous.size()).size();
            if (afterGap > 0) {
                LOG.warn("replica_gap", "shard", shard, "after", from + contiguous.size() - 1);
            }
            return contiguous;
        }
    }

    /**
     * Appends frames to the log and marks this daemon as serving in the row.
     *
     * @param shard the shard
     * @param acquired its row after the takeover
     * @param frames frames that follow the log; may be empty
     * @return the new row; empty if another daemon has overwritten the row
     * @throws StoreException if the store does not answer; the stored row then shows which frames
     *     were written
     */
    Optional<VersionedRow> append(ShardId shard, VersionedRow acquired, List<byte[]> frames) {
        VersionedRow current = acquired;
        int next = 0;
        do {
            ByteArrayOutputStream segment = new ByteArrayOutputStream();
            int appends = 0;
            while (next < frames.size() && segment.size() < SEGMENT_BYTES) {
                segment.writeBytes(frames.get(next++));
                appends++;
            }
            if (next == frames.size() && current.row().seq() + appends > 0) {
                // Replicas of this owner's records continue the log, so the log must contain the
                // change of owner before this daemon serves.
                segment.writeBytes(LogCodec.takeoverFrame());
            }
            Optional<VersionedRow> written =
                    writeSegment(
                            shard, current, segment.toByteArray(), appends, next == frames.size());
            if (written.isEmpty()) {
                return written;
            }
            current = written.get();
        } while (next < frames.size());
        if (!frames.isEmpty()) {
            LOG.info("replicas_recovered", "shard", shard, "records", frames.size());
        }
        return Optional.of(current);
    }

    /** Lets the daemons drop the replicas of earlier owners. */
    void dropReplicas(ShardId shard, ShardRow row, Collection<DaemonInfo> live) {
        mLocalReplicas.drop(new PeerMessage.ReplicaDrop(shard.index(), row.fence(), row.records()));
        for (DaemonInfo daemon : ReplicaHolders.queryTargets(shard, live)) {
            if (mPeers != null && !daemon.vm().equals(mSelf.vm())) {
                PendingReplicator.sendDrop(mPeers.get(), daemon, shard, row.fence(), row.records());
            }
        }
    }

    private Optional<VersionedRow> writeSegment(
            ShardId shard, VersionedRow before, byte[] segment, int appends, boolean last) {
        String commitId = mCommitIds.get();
        ShardRow row = before.row();
        Transaction.Builder tx = Transaction.builder(commitId);
        if (segment.length > 0) {
            long seq = row.seq() + 1;
            byte[] value = StoreRows.encodeInlineSegment(segment);
            if (segment.length > InFlightCommit.MAX_INLINE_BYTES) {
                String name = StoreRows.logObjectName(shard, row.fence(), seq);
                mObjects.put(name, segment);
                value = StoreRows.encodeObjectReference(name);
            }
            row = row.withSegment(seq, appends);
            tx.put(StoreRows.logKey(shard, seq), Row.ABSENT, value);
        }
        row = last ? row.withServingAllowed() : row;
        String key = StoreRows.shardKey(shard);
        tx.put(key, before.version(), StoreRows.encode(row));
        try {
            CommitResult result = mTable.commit(tx.build());
            for (Row written : result.committed() ? result.rows() : List.<Row>of()) {
                if (written.key().equals(key)) {
                    return Optional.of(new VersionedRow(row, written.version()));
                }
            }
            return Optional.empty();
        } catch (StoreException e) {
            if (!e.outcomeUnknown()) {
                throw e;
            }
            Optional<Row> current = mTable.read(key);
            if (current.isPresent() && current.get().commitId().equals(commitId)) {
                return Optional.of(new VersionedRow(row, current.get().version()));
            }
            throw e;
        }
    }
}
