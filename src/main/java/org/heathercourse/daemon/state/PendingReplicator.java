package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;

/**
 * Replicates appends of owned shards that are not durable to the memory of other daemons.
 *
 * <p>The daemons that hold the replicas of a shard are its holders. A holder receives the appends
 * in order, one batch at a time, and each append once unless a batch failed. Thread-safe; does not
 * block.
 */
final class PendingReplicator {
    private static final EventLog LOG = EventLog.of(PendingReplicator.class);
    private static final long MAX_BATCH_BYTES = 2L << 20;

    /**
     * Timeout of a request; a live daemon answers from memory, so a slower one counts as failed.
     */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    /** Time for which a failed holder is not selected again. */
    private static final long FAILED_HOLDER_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Supplier<PeerNetwork> mPeers;
    private final Ticker mTicker;
    private final Supplier<List<DaemonInfo>> mDaemons;
    private final Map<ShardId, Replication> mReplications = new ConcurrentHashMap<>();

    /**
     * Creates the replicator.
     *
     * @param peers network to other daemons; null if there is none
     * @param ticker time source
     * @param daemons live daemons, this one first
     */
    PendingReplicator(
            Supplier<PeerNetwork> peers, Ticker ticker, Supplier<List<DaemonInfo>> daemons) {
        mPeers = peers;
        mTicker = ticker;
        mDaemons = daemons;
    }

    /**
     * Replicates all appends of a shard up to a number.
     *
     * @param shard the shard
     * @param upTo number of the last append
     * @return completes when enough daemons hold them or they are durable; fails with kind
     *     STORE_UNAVAILABLE if too few daemons accept them, or OWNERSHIP_LOST if the shard is lost
     *     or released first
     */
    CompletableFuture<Void> replicate(OwnedShard shard, long upTo) {
        Replication replication =
                mReplications.compute(
                        shard.id(),
                        (id, old) ->
                                old != null && old.mShard == shard ? old : new Replication(shard));
        return replication.replicateUpTo(upTo);
    }

    /**
     * Completes the appends that a flush made durable.
     *
     * @param shard the shard
     * @param stillOwned whether this daemon still owns the shard; if not, the remaining appends
     *     fail
     */
    void onCommitted(OwnedShard shard, boolean stillOwned) {
        Replication replication = mReplications.get(shard.id());
        if (replication != null && replication.mShard == shard) {
            if (!stillOwned) {
                mReplications.remove(shard.id(), replication);
            }
            replication.onCommitted(stillOwned);
        }
    }

    /** Notifies a holder that appends are durable; the next message replaces a lost one. */
    static void sendDrop(
            PeerNetwork peers, DaemonInfo holder, ShardId shard, long fence, long upTo) {
        peers.request(
                        holder,
                        new PeerMessage.ReplicaDrop(shard.index(), fence, upTo),
                        PeerMessage.ReplicaReply.class,
                        REQUEST_TIMEOUT_MILLIS)
                .exceptionally(
                        e -> {
                            LOG.debug(
                                    "replica_drop_failed", "shard", shard, "cause", e.getMessage());
                            return null;
                        });
    }

    private static HeathercourseException tooFewHolders(ShardId shard, int holders, int required) {
        return new HeathercourseException(
                ErrorKind.STORE_UNAVAILABLE,
                "records of shard "
                        + shard
                        + " can be replicated to "
                        + holders
                        + " daemons, expected "
                        + required,
                "try again when the store or more daemons are reachable");
    }

    private record Waiter(long upTo, CompletableFuture<Void> done) {}

    private record Batch(Holder holder, long upTo, PeerMessage.ReplicaAppend message) {}

    /** A daemon that holds a replica of one shard. */
    private static final class Holder {
        private final DaemonInfo mDaemon;
        private long mAcknowledgedUpTo;
        private boolean mRequestInFlight;

        Holder(DaemonInfo daemon) {
            mDaemon = daemon;
        }
    }

    /** The replication of one shard under one fencing number. */
    private final class Replication {
        private final OwnedShard mShard;
        private final Map<VmId, Holder> mHolders = new LinkedHashMap<>();
        private final Map<VmId, Long> mFailureNanos = new HashMap<>();
        private final List<Waiter> mWaiters = new ArrayList<>();

        Replication(OwnedShard shard) {
            mShard = shard;
        }

        CompletableFuture<Void> replicateUpTo(long upTo) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            synchronized (this) {
                mWaiters.add(new Waiter(upTo, done));
            }
            advance();
            return done;
        }

        /** Selects holders, sends the next batches and completes waiters. */
        private void advance() {
            List<Batch> batches = new ArrayList<>();
            List<Waiter> replicated = new ArrayList<>();
            List<Waiter> failed = new ArrayList<>();
            int required;
            int holders;
            synchronized (this) {
                List<DaemonInfo> daemons = mDaemons.get();
                required = ReplicaHolders.requiredAcknowledgements(daemons.size());
                chooseHolders(daemons);
                holders = mHolders.size();
                pollReplicated(required, replicated);
                if (holders < required) {
                    failed.addAll(mWaiters);
                    mWaiters.clear();
                }
                if (!mWaiters.isEmpty()) {
                    mHolders.values().forEach(holder -> addBatch(holder, batches));
                }
            }
            replicated.forEach(waiter -> waiter.done().complete(null));
            for (Waiter waiter : failed) {
                waiter.done().completeExceptionally(tooFewHolders(mShard.id(), holders, required));
            }
            batches.forEach(this::send);
        }

        private void chooseHolders(List<DaemonInfo> daemons) {
            if (mPeers == null) {
                return;
            }
            long nowNanos = mTicker.readNanos();
            mFailureNanos
                    .values()
                    .removeIf(failed -> nowNanos - failed >= FAILED_HOLDER_BACKOFF_NANOS);
            for (DaemonInfo daemon :
                    ReplicaHolders.candidates(mShard.id(), daemons.get(0), daemons)) {
                if (mHolders.size() >= ReplicaHolders.REPLICA_COUNT) {
                    return;
                }
                if (!mFailureNanos.containsKey(daemon.vm())) {
                    mHolders.computeIfAbsent(daemon.vm(), vm -> new Holder(daemon));
                }
            }
        }

        private void pollReplicated(int required, List<Waiter> replicated) {
            long lastDurable = mShard.row().records();
            for (Waiter waiter : List.copyOf(mWaiters)) {
                long acknowledged =
                        mHolders.values().stream()
                                .filter(holder -> holder.mAcknowledgedUpTo >= waiter.upTo())
                                .count();
                if (waiter.upTo() <= lastDurable || acknowledged >= required) {
                    mWaiters.remove(waiter);
                    replicated.add(waiter);
                }
            }
        }

        private void addBatch(Holder holder, List<Batch> batches) {
            if (holder.mRequestInFlight) {
                return;
            }
            OwnedShard.NonDurableAppends batchAppends =
                    mShard.nonDurableAppends(holder.mAcknowledgedUpTo + 1, MAX_BATCH_BYTES);
            if (batchAppends.appends().isEmpty()) {
                return;
            }
            holder.mRequestInFlight = true;
            DaemonInfo owner = mDaemons.get().get(0);
            long from = batchAppends.appends().get(0).number();
            PeerMessage.ReplicaAppend message =
                    new PeerMessage.ReplicaAppend(
                            mShard.id().index(),
                            owner.vm(),
                            owner.incarnation(),
                            mShard.fence(),
                            batchAppends.firstNumber(),
                            from,
                            batchAppends.appends().stream()
                                    .map(OwnedShard.PendingAppend::frame)
                                    .toList());
            batches.add(new Batch(holder, from + batchAppends.appends().size() - 1, message));
        }

        private void send(Batch batch) {
            mPeers.get()
                    .request(
                            batch.holder().mDaemon,
                            batch.message(),
                            PeerMessage.ReplicaReply.class,
                            REQUEST_TIMEOUT_MILLIS)
                    .whenComplete((reply, error) -> onReply(batch, reply, error));
        }

        private void onReply(Batch batch, PeerMessage.ReplicaReply reply, Throwable error) {
            Holder holder = batch.holder();
            VmId vm = holder.mDaemon.vm();
            synchronized (this) {
                holder.mRequestInFlight = false;
                PeerMessage.ReplicaAppend sent = batch.message();
                // A restarted holder lacks earlier appends and receives all of them again.
                boolean restarted =
                        error == null
                                && reply.upTo() < sent.fromNumber()
                                && sent.fromNumber() > sent.firstNumber();
                if (error == null && (reply.upTo() >= batch.upTo() || restarted)) {
                    holder.mAcknowledgedUpTo = restarted ? reply.upTo() : batch.upTo();
                } else {
                    mHolders.remove(vm, holder);
                    mFailureNanos.put(vm, mTicker.readNanos());
                    String cause =
                            error == null ? "incomplete" : String.valueOf(error.getMessage());
                    LOG.info("replication_failed", "shard", mShard.id(), "vm", vm, "cause", cause);
                }
            }
            advance();
        }

        void onCommitted(boolean stillOwned) {
            List<Waiter> replicated = new ArrayList<>();
            List<Waiter> failed = new ArrayList<>();
            List<Holder> holders;
            ShardRow row = mShard.row();
            synchronized (this) {
                pollReplicated(Integer.MAX_VALUE, replicated);
                if (!stillOwned) {
                    failed.addAll(mWaiters);
                    mWaiters.clear();
                }
                holders = List.copyOf(mHolders.values());
                if (!stillOwned || mShard.nonDurableAppends(0, 0).appends().isEmpty()) {
                    mHolders.clear();
                }
            }
            replicated.forEach(waiter -> waiter.done().complete(null));
            failed.forEach(
                    waiter ->
                            waiter.done()
                                    .completeExceptionally(
                                            CommitLoop.ownershipLost("shard " + mShard.id())));
            for (Holder holder : holders) {
                sendDrop(mPeers.get(), holder.mDaemon, mShard.id(), mShard.fence(), row.records());
            }
        }
    }
}
