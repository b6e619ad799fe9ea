package org.heathercourse.daemon.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Takes over shards: writes the row conditionally with the next fencing number, recovers replicas
 * of a crashed owner, loads the log, and only then serves. Runs on the control thread only.
 */
final class Takeover {
    private static final EventLog LOG = EventLog.of(Takeover.class);

    private final VmId mVm;
    private final long mIncarnation;
    private final TableStore mTable;
    private final Ticker mTicker;
    private final ShardLoader mLoader;
    private final ReplicaRecovery mRecovery;
    private final OwnedShards mOwnedShards;
    private final Supplier<String> mCommitIds;

    /** Shards that are owned, but not loaded yet. */
    private final Map<ShardId, AcquiredShard> mAcquired = new HashMap<>();

    /**
     * A shard that is owned, but not loaded yet.
     *
     * @param row its row
     * @param version version of the row
     * @param released whether the previous owner had released the shard
     * @param replicatedFrames frames of a crashed owner, being read from other daemons; null if
     *     there are none to recover
     */
    private record AcquiredShard(
            ShardRow row,
            long version,
            boolean released,
            CompletableFuture<List<byte[]>> replicatedFrames) {}

    Takeover(
            StateSettings settings,
            TableStore table,
            Ticker ticker,
            ShardLoader loader,
            ReplicaRecovery recovery,
            OwnedShards ownedShards,
            Supplier<String> commitIds) {
        mVm = settings.self().vm();
        mIncarnation = settings.self().incarnation();
        mTable = table;
        mTicker = ticker;
        mLoader = loader;
        mRecovery = recovery;
        mOwnedShards = ownedShards;
        mCommitIds = commitIds;
    }

    /** Returns whether a shard is owned, but not loaded yet. */
    boolean loading() {
        return !mAcquired.isEmpty();
    }

    /**
     * Marks the row of a daemon as dead, unless the daemon has written it since.
     *
     * @param daemon content of the row as observed
     * @param version version of the row as observed
     */
    void declareDead(DaemonInfo daemon, long version) {
        String key = StoreRows.daemonKey(daemon.vm());
        byte[] deadRow = StoreRows.encode(daemon.asDead());
        mTable.commit(Transaction.builder(mCommitIds.get()).put(key, version, deadRow).build());
    }

    /** Deletes the row of a daemon that was declared dead long ago. */
    void deleteDaemonRow(VmId vm, long version) {
        String key = StoreRows.daemonKey(vm);
        mTable.commit(Transaction.builder(mCommitIds.get()).delete(key, version).build());
    }

    /**
     * Takes over a shard, or continues a takeover, unless another daemon has written the row.
     *
     * @param shard the shard
     * @param rowBefore content of its row as scanned
     * @param version version of its row as scanned
     * @param live live daemons, which may hold replicas of the shard
     * @throws StoreException if the store does not answer
     */
    void takeOver(ShardId shard, ShardRow rowBefore, long version, Collection<DaemonInfo> live) {
        AcquiredShard acquired = mAcquired.get(shard);
        if (acquired == null || acquired.version() != version) {
            mAcquired.remove(shard);
            acquired = acquire(shard, rowBefore, version, live);
        }
        if (acquired == null) {
            return;
        }
        mAcquired.put(shard, acquired);
        if (acquired.replicatedFrames() != null) {
            acquired = appendReplicatedFrames(shard, acquired, live);
            if (acquired == null) {
                return;
            }
        }
        long nowMillis = mTicker.readMillis();
        OwnedShard owned =
                mLoader.load(
                        shard, acquired.row(), acquired.version(), acquired.released(), nowMillis);
        mAcquired.remove(shard);
        mOwnedShards.add(owned);
        ShardRow row = acquired.row();
        List<OwnedShard.Segment> tail = owned.tail();
        LOG.info(
                "shard_taken",
                "shard",
                shard,
                "fence",
                row.fence(),
                "released",
                acquired.released());
        if (row.seq() > 0) {
            mOwnedShards.runInBackground(() -> deleteOrphanedObjects(shard, row, tail));
        }
    }

    /** Writes the replicated frames to the log; returns null if the shard cannot be served yet. */
    private AcquiredShard appendReplicatedFrames(
            ShardId shard, AcquiredShard acquired, Collection<DaemonInfo> live) {
        if (!acquired.replicatedFrames().isDone()) {
            acquired.replicatedFrames().thenRun(mOwnedShards::requestScan);
            return null;
        }
        Optional<ReplicaRecovery.VersionedRow> written =
                mRecovery.append(
                        shard,
                        new ReplicaRecovery.VersionedRow(acquired.row(), acquired.version()),
                        acquired.replicatedFrames().join());
        if (written.isEmpty()) {
            mAcquired.remove(shard);
            return null;
        }
        AcquiredShard complete =
                new AcquiredShard(
                        written.get().row(), written.get().version(), acquired.released(), null);
        mAcquired.put(shard, complete);
        mRecovery.dropReplicas(shard, complete.row(), live);
        return complete;
    }

    private AcquiredShard acquire(
            ShardId shard, ShardRow rowBefore, long version, Collection<DaemonInfo> live) {
        ShardRow row = rowBefore.takenBy(mVm.value(), mIncarnation);
        String commitId = mCommitIds.get();
        String key = StoreRows.shardKey(shard);
        Transaction tx =
                Transaction.builder(commitId).put(key, version, StoreRows.encode(row)).build();
        boolean released = !rowBefore.owned();
        try {
            CommitResult result = mTable.commit(tx);
            return result.committed()
                    ? acquiredShard(shard, row, result.rows().get(0).version(), released, live)
                    : null;
        } catch (StoreException e) {
            if (!e.outcomeUnknown()) {
                throw e;
            }
            Optional<Row> current = mTable.read(key);
            boolean ownWrite = current.isPresent() && current.get().commitId().equals(commitId);
            return ownWrite
                    ? acquiredShard(shard, row, current.get().version(), released, live)
                    : null;
        }
    }

    private AcquiredShard acquiredShard(
            ShardId shard,
            ShardRow row,
            long version,
            boolean released,
            Collection<DaemonInfo> live) {
        return new AcquiredShard(
                row, version, released, released ? null : mRecovery.collect(shard, row, live));
    }

    private void deleteOrphanedObjects(ShardId shard, ShardRow row, List<OwnedShard.Segment> tail) {
        try {
            mLoader.deleteOrphanedObjects(shard, row, tail);
        } catch (StoreException e) {
            LOG.debug("sweep_failed", "shard", shard, "cause", e.getMessage());
        }
    }
}
