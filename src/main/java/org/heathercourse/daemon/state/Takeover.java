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
 * Takes shards: a conditional write of the row with the next fencing number, then the load of the
 * log, and only then service. Runs on the control thread only.
 */
final class Takeover {
    private static final EventLog LOG = EventLog.of(Takeover.class);

    private final VmId mVm;
    private final long mIncarnation;
    private final TableStore mTable;
    private final Ticker mTicker;
    private final ShardLoader mLoader;
    private final ReplicaRecovery mRecovery;
    private final Holdings mHoldings;
    private final Supplier<String> mCommitIds;

    /** Shards taken whose log could not be loaded yet. */
    private final Map<ShardId, Taken> mTaken = new HashMap<>();

    /**
     * A shard taken.
     *
     * @param copies records of a crashed owner that are being read from other daemons; null if
     *     there are none to read
     */
    private record Taken(
            ShardRow row, long version, boolean released, CompletableFuture<List<byte[]>> copies) {}

    Takeover(
            StateSettings settings,
            TableStore table,
            Ticker ticker,
            ShardLoader loader,
            ReplicaRecovery recovery,
            Holdings holdings,
            Supplier<String> commitIds) {
        mVm = settings.self().vm();
        mIncarnation = settings.self().incarnation();
        mTable = table;
        mTicker = ticker;
        mLoader = loader;
        mRecovery = recovery;
        mHoldings = holdings;
        mCommitIds = commitIds;
    }

    /** Returns whether a shard was taken whose log could not be loaded yet. */
    boolean loading() {
        return !mTaken.isEmpty();
    }

    /**
     * Writes into the row of a daemon that it is dead, unless it has written since.
     *
     * @param daemon the row that was seen unchanged
     * @param version its version
     */
    void declareDead(DaemonInfo daemon, long version) {
        String key = StoreRows.daemonKey(daemon.vm());
        byte[] dead = StoreRows.encode(daemon.asDead());
        mTable.commit(Transaction.builder(mCommitIds.get()).put(key, version, dead).build());
    }

    /** Deletes the row of a daemon that was declared dead long ago. */
    void deleteDaemon(VmId vm, long version) {
        String key = StoreRows.daemonKey(vm);
        mTable.commit(Transaction.builder(mCommitIds.get()).delete(key, version).build());
    }

    /**
     * Takes a shard unless another daemon was faster.
     *
     * @param shard the shard
     * @param seen content of its row
     * @param version version of its row
     * @param live live daemons, which may hold copies of records of the shard
     */
    void take(ShardId shard, ShardRow seen, long version, Collection<DaemonInfo> live) {
        Taken taken = mTaken.get(shard);
        if (taken == null || taken.version() != version) {
            mTaken.remove(shard);
            taken = writeRow(shard, seen, version, live);
        }
        if (taken == null) {
            return;
        }
        mTaken.put(shard, taken);
        if (taken.copies() != null) {
            taken = writeCopies(shard, taken, live);
            if (taken == null) {
                return;
            }
        }
        long nowMillis = mTicker.readMillis();
        OwnedShard owned =
                mLoader.load(shard, taken.row(), taken.version(), taken.released(), nowMillis);
        mTaken.remove(shard);
        mHoldings.add(owned);
        ShardRow row = taken.row();
        List<OwnedShard.Segment> tail = owned.tail();
        LOG.info("shard_taken", "shard", shard, "fence", row.fence(), "released", taken.released());
        if (row.seq() > 0) {
            mHoldings.background(() -> sweep(shard, row, tail));
        }
    }

    /** Returns the shard with the copies in its log, or null if it cannot be served yet. */
    private Taken writeCopies(ShardId shard, Taken taken, Collection<DaemonInfo> live) {
        if (!taken.copies().isDone()) {
            taken.copies().thenRun(mHoldings::scanNeeded);
            return null;
        }
        Optional<ReplicaRecovery.Written> written =
                mRecovery.append(
                        shard,
                        new ReplicaRecovery.Written(taken.row(), taken.version()),
                        taken.copies().join());
        if (written.isEmpty()) {
            mTaken.remove(shard);
            return null;
        }
        Taken whole =
                new Taken(written.get().row(), written.get().version(), taken.released(), null);
        mTaken.put(shard, whole);
        mRecovery.drop(shard, whole.row(), live);
        return whole;
    }

    private Taken writeRow(
            ShardId shard, ShardRow seen, long version, Collection<DaemonInfo> live) {
        ShardRow row = seen.takenBy(mVm.value(), mIncarnation);
        String commitId = mCommitIds.get();
        String key = StoreRows.shardKey(shard);
        Transaction tx =
                Transaction.builder(commitId).put(key, version, StoreRows.encode(row)).build();
        boolean released = !seen.owned();
        try {
            CommitResult result = mTable.commit(tx);
            return result.committed()
                    ? taken(shard, row, result.rows().get(0).version(), released, live)
                    : null;
        } catch (StoreException e) {
            if (!e.outcomeUnknown()) {
                throw e;
            }
            Optional<Row> now = mTable.read(key);
            boolean ours = now.isPresent() && now.get().commitId().equals(commitId);
            return ours ? taken(shard, row, now.get().version(), released, live) : null;
        }
    }

    private Taken taken(
            ShardId shard,
            ShardRow row,
            long version,
            boolean released,
            Collection<DaemonInfo> live) {
        return new Taken(
                row, version, released, released ? null : mRecovery.collect(shard, row, live));
    }

    private void sweep(ShardId shard, ShardRow row, List<OwnedShard.Segment> tail) {
        try {
            mLoader.sweep(shard, row, tail);
        } catch (StoreException e) {
            LOG.debug("sweep_failed", "shard", shard, "cause", e.getMessage());
        }
    }
}
