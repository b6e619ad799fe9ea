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
 * Copies records of owned shards that wait for the store to the memory of other daemons.
 *
 * <p>A holder gets the records of a shard in order, one batch at a time, and each record once
 * unless a batch failed. Safe for use by several threads; does not block.
 */
final class PendingReplicator {
    private static final EventLog LOG = EventLog.of(PendingReplicator.class);
    private static final long BATCH_BYTES = 2L << 20;

    /** Time after which a holder counts as failed; a live daemon answers from memory. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Time for which a failed holder is not chosen again. */
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Supplier<PeerNetwork> mPeers;
    private final Ticker mTicker;
    private final Supplier<List<DaemonInfo>> mDaemons;
    private final Map<ShardId, Replication> mReplications = new ConcurrentHashMap<>();

    /**
     * Creates the replicator.
     *
     * @param peers links to other daemons; null if there are none
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
     * Copies all records of a shard up to a number.
     *
     * @return completes when enough daemons hold them or they are durable; fails with kind
     *     STORE_UNAVAILABLE if too few daemons take them
     */
    CompletableFuture<Void> replicate(OwnedShard shard, long upTo) {
        Replication replication =
                mReplications.compute(
                        shard.id(),
                        (id, old) ->
                                old != null && old.mShard == shard ? old : new Replication(shard));
        return replication.waitFor(upTo);
    }

    /** A flush of a shard took effect, or the shard is not held any longer. */
    void committed(OwnedShard shard, boolean held) {
        Replication replication = mReplications.get(shard.id());
        if (replication != null && replication.mShard == shard) {
            if (!held) {
                mReplications.remove(shard.id(), replication);
            }
            replication.committed(held);
        }
    }

    /** Tells a holder that records are durable; a lost message is made up for by the next one. */
    static void drop(PeerNetwork peers, DaemonInfo holder, ShardId shard, long fence, long upTo) {
        peers.request(
                        holder,
                        new PeerMessage.ReplicaDrop(shard.index(), fence, upTo),
                        PeerMessage.ReplicaReply.class,
                        TIMEOUT_MILLIS)
                .exceptionally(
                        e -> {
                            LOG.debug("drop_failed", "shard", shard, "cause", e.getMessage());
                            return null;
                        });
    }

    private static HeathercourseException impossible(ShardId shard, int holders, int required) {
        return new HeathercourseException(
                ErrorKind.STORE_UNAVAILABLE,
                "records of shard "
                        + shard
                        + " can be copied to "
                        + holders
                        + " daemons, expected "
                        + required,
                "try again when the store or other daemons are back");
    }

    private record Waiter(long upTo, CompletableFuture<Void> done) {}

    private record Batch(Holder holder, long upTo, PeerMessage.ReplicaAppend message) {}

    /** A daemon that holds copies of one shard. */
    private static final class Holder {
        private final DaemonInfo mDaemon;
        private long mAcknowledged;
        private boolean mBusy;

        Holder(DaemonInfo daemon) {
            mDaemon = daemon;
        }
    }

    /** The copies of one shard under one fence. */
    private final class Replication {
        private final OwnedShard mShard;
        private final Map<VmId, Holder> mHolders = new LinkedHashMap<>();
        private final Map<VmId, Long> mFailedNanos = new HashMap<>();
        private final List<Waiter> mWaiters = new ArrayList<>();

        Replication(OwnedShard shard) {
            mShard = shard;
        }

        CompletableFuture<Void> waitFor(long upTo) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            synchronized (this) {
                mWaiters.add(new Waiter(upTo, done));
            }
            pump();
            return done;
        }

        /** Chooses holders, sends what they lack and settles the waiters. */
        private void pump() {
            List<Batch> batches = new ArrayList<>();
            List<Waiter> copied = new ArrayList<>();
            List<Waiter> failed = new ArrayList<>();
            int required;
            int holders;
            synchronized (this) {
                List<DaemonInfo> daemons = mDaemons.get();
                required = ReplicaHolders.required(daemons.size());
                chooseHolders(daemons);
                holders = mHolders.size();
                settle(required, copied);
                if (holders < required) {
                    failed.addAll(mWaiters);
                    mWaiters.clear();
                }
                if (!mWaiters.isEmpty()) {
                    mHolders.values().forEach(holder -> addBatch(holder, batches));
                }
            }
            copied.forEach(waiter -> waiter.done().complete(null));
            for (Waiter waiter : failed) {
                waiter.done().completeExceptionally(impossible(mShard.id(), holders, required));
            }
            batches.forEach(this::send);
        }

        private void chooseHolders(List<DaemonInfo> daemons) {
            if (mPeers == null) {
                return;
            }
            long nowNanos = mTicker.readNanos();
            mFailedNanos.values().removeIf(failed -> nowNanos - failed >= AVOID_NANOS);
            for (DaemonInfo daemon : ReplicaHolders.ranked(mShard.id(), daemons.get(0), daemons)) {
                if (mHolders.size() >= ReplicaHolders.COPIES) {
                    return;
                }
                if (!mFailedNanos.containsKey(daemon.vm())) {
                    mHolders.computeIfAbsent(daemon.vm(), vm -> new Holder(daemon));
                }
            }
        }

        private void settle(int required, List<Waiter> copied) {
            long durable = mShard.row().records();
            for (Waiter waiter : List.copyOf(mWaiters)) {
                long acknowledged =
                        mHolders.values().stream()
                                .filter(holder -> holder.mAcknowledged >= waiter.upTo())
                                .count();
                if (waiter.upTo() <= durable || acknowledged >= required) {
                    mWaiters.remove(waiter);
                    copied.add(waiter);
                }
            }
        }

        private void addBatch(Holder holder, List<Batch> batches) {
            if (holder.mBusy) {
                return;
            }
            OwnedShard.Open open = mShard.open(holder.mAcknowledged + 1, BATCH_BYTES);
            if (open.appends().isEmpty()) {
                return;
            }
            holder.mBusy = true;
            DaemonInfo owner = mDaemons.get().get(0);
            long from = open.appends().get(0).number();
            PeerMessage.ReplicaAppend message =
                    new PeerMessage.ReplicaAppend(
                            mShard.id().index(),
                            owner.vm(),
                            owner.incarnation(),
                            mShard.fence(),
                            open.firstNumber(),
                            from,
                            open.appends().stream().map(OwnedShard.Pending::frame).toList());
            batches.add(new Batch(holder, from + open.appends().size() - 1, message));
        }

        private void send(Batch batch) {
            mPeers.get()
                    .request(
                            batch.holder().mDaemon,
                            batch.message(),
                            PeerMessage.ReplicaReply.class,
                            TIMEOUT_MILLIS)
                    .whenComplete((reply, error) -> answered(batch, reply, error));
        }

        private void answered(Batch batch, PeerMessage.ReplicaReply reply, Throwable error) {
            Holder holder = batch.holder();
            VmId vm = holder.mDaemon.vm();
            synchronized (this) {
                holder.mBusy = false;
                PeerMessage.ReplicaAppend sent = batch.message();
                // A holder that was restarted lacks earlier records and gets all of them again.
                boolean restarted =
                        error == null
                                && reply.upTo() < sent.fromNumber()
                                && sent.fromNumber() > sent.firstNumber();
                if (error == null && (reply.upTo() >= batch.upTo() || restarted)) {
                    holder.mAcknowledged = restarted ? reply.upTo() : batch.upTo();
                } else {
                    mHolders.remove(vm, holder);
                    mFailedNanos.put(vm, mTicker.readNanos());
                    String cause =
                            error == null ? "incomplete" : String.valueOf(error.getMessage());
                    LOG.info("copy_failed", "shard", mShard.id(), "vm", vm, "cause", cause);
                }
            }
            pump();
        }

        void committed(boolean held) {
            List<Waiter> copied = new ArrayList<>();
            List<Waiter> failed = new ArrayList<>();
            List<Holder> holders;
            ShardRow row = mShard.row();
            synchronized (this) {
                settle(Integer.MAX_VALUE, copied);
                if (!held) {
                    failed.addAll(mWaiters);
                    mWaiters.clear();
                }
                holders = List.copyOf(mHolders.values());
                if (!held || mShard.open(0, 0).appends().isEmpty()) {
                    mHolders.clear();
                }
            }
            copied.forEach(waiter -> waiter.done().complete(null));
            failed.forEach(
                    waiter ->
                            waiter.done()
                                    .completeExceptionally(
                                            CommitLoop.lost("shard " + mShard.id())));
            for (Holder holder : holders) {
                drop(mPeers.get(), holder.mDaemon, mShard.id(), mShard.fence(), row.records());
            }
        }
    }
}
