package org.heathercourse.daemon.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private final Holdings mHoldings;
    private final Supplier<String> mCommitIds;

    /** Shards taken whose log could not be loaded yet. */
    private final Map<ShardId, Taken> mTaken = new HashMap<>();

    private record Taken(ShardRow row, long version, boolean released) {}

    Takeover(
            StateSettings settings,
            TableStore table,
            Ticker ticker,
            ShardLoader loader,
            Holdings holdings,
            Supplier<String> commitIds) {
        mVm = settings.self().vm();
        mIncarnation = settings.self().incarnation();
        mTable = table;
        mTicker = ticker;
        mLoader = loader;
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
     */
    void take(ShardId shard, ShardRow seen, long version) {
        Taken taken = mTaken.get(shard);
        if (taken == null || taken.version() != version) {
            mTaken.remove(shard);
            taken = writeRow(shard, seen, version);
        }
        if (taken == null) {
            return;
        }
        mTaken.put(shard, taken);
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

    private Taken writeRow(ShardId shard, ShardRow seen, long version) {
        ShardRow row = seen.takenBy(mVm.value(), mIncarnation);
        String commitId = mCommitIds.get();
        String key = StoreRows.shardKey(shard);
        Transaction tx =
                Transaction.builder(commitId).put(key, version, StoreRows.encode(row)).build();
        boolean released = !seen.owned();
        try {
            CommitResult result = mTable.commit(tx);
            return result.committed()
                    ? new Taken(row, result.rows().get(0).version(), released)
                    : null;
        } catch (StoreException e) {
            if (!e.outcomeUnknown()) {
                throw e;
            }
            Optional<Row> now = mTable.read(key);
            boolean ours = now.isPresent() && now.get().commitId().equals(commitId);
            return ours ? new Taken(row, now.get().version(), released) : null;
        }
    }

    private void sweep(ShardId shard, ShardRow row, List<OwnedShard.Segment> tail) {
        try {
            mLoader.sweep(shard, row, tail);
        } catch (StoreException e) {
            LOG.debug("sweep_failed", "shard", shard, "cause", e.getMessage());
        }
    }
}
