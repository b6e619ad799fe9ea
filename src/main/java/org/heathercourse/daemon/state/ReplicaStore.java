package org.heathercourse.daemon.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;

/**
 * In-memory replicas of appends that the owners of shards cannot write during a store outage.
 *
 * <p>Keeps for each shard only the appends of the latest fencing number, and none for longer than
 * {@link #RETENTION_NANOS} after the last change. Thread-safe; does not block.
 */
final class ReplicaStore {
    /** Maximum size of all replicas; the same as {@link StateEngine#PENDING_LIMIT_BYTES}. */
    static final long MAX_BYTES = 64L << 20;

    /** Time after its last change at which a replica is dropped. */
    static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(2);

    /** Maximum size of the records in one reply; a frame may have up to 16 MiB. */
    private static final long MAX_PAGE_BYTES = 2L << 20;

    private final Ticker mTicker;
    private final Map<Integer, ShardReplica> mReplicas = new HashMap<>();

    /** Smallest fencing number accepted for a shard after the query of a new owner. */
    private final Map<Integer, Long> mMinFences = new HashMap<>();

    private long mBytes;

    private static final class ShardReplica {
        private final long mFence;
        private final Deque<byte[]> mRecords = new ArrayDeque<>();
        private long mFirstNumber;
        private long mChangedNanos;

        ShardReplica(long fence, long firstNumber) {
            mFence = fence;
            mFirstNumber = firstNumber;
        }

        long lastNumber() {
            return mFirstNumber + mRecords.size() - 1;
        }
    }

    ReplicaStore(Ticker ticker) {
        mTicker = ticker;
    }

    /** Registers the handlers for the messages of other daemons. */
    void registerHandlers(PeerNetwork peers) {
        peers.onRequest(
                PeerMessage.ReplicaAppend.class,
                message -> CompletableFuture.completedFuture(append(message)));
        peers.onRequest(
                PeerMessage.ReplicaQuery.class,
                message -> CompletableFuture.completedFuture(query(message)));
        peers.onRequest(
                PeerMessage.ReplicaDrop.class,
                message -> CompletableFuture.completedFuture(drop(message)));
    }

    /** Returns the size of all replicas in bytes. */
    synchronized long bytes() {
        return mBytes;
    }

    /**
     * Adds records to the replica of a shard.
     *
     * @throws HeathercourseException of kind OWNERSHIP_LOST if the shard has a later owner, or
     *     OVERLOADED if the size would exceed {@link #MAX_BYTES}
     */
    synchronized PeerMessage.ReplicaReply append(PeerMessage.ReplicaAppend message) {
        expire();
        int shard = message.shard();
        ShardReplica replica = mReplicas.get(shard);
        long minFence =
                Math.max(mMinFences.getOrDefault(shard, 0L), replica == null ? 0 : replica.mFence);
        if (message.fence() < minFence) {
            throw new HeathercourseException(
                    ErrorKind.OWNERSHIP_LOST,
                    "fence of shard "
                            + shard
                            + " is "
                            + message.fence()
                            + ", expected at least "
                            + minFence,
                    "stop serving the shard; it has a new owner");
        }
        if (replica != null && replica.mFence == message.fence()) {
            trim(replica, message.firstNumber() - 1);
        }
        boolean continues =
                replica != null
                        && replica.mFence == message.fence()
                        && !replica.mRecords.isEmpty()
                        && replica.mFirstNumber <= message.firstNumber()
                        && message.fromNumber() <= replica.lastNumber() + 1;
        if (!continues) {
            if (message.fromNumber() != message.firstNumber()) {
                return new PeerMessage.ReplicaReply(shard, message.firstNumber() - 1);
            }
            remove(shard);
            replica = new ShardReplica(message.fence(), message.fromNumber());
        }
        add(replica, message);
        mReplicas.put(shard, replica);
        return new PeerMessage.ReplicaReply(shard, replica.lastNumber());
    }

    private void add(ShardReplica replica, PeerMessage.ReplicaAppend message) {
        long overlap = replica.lastNumber() + 1 - message.fromNumber();
        List<byte[]> added = message.records().stream().skip(Math.max(0, overlap)).toList();
        long bytes = added.stream().mapToLong(record -> record.length).sum();
        if (mBytes + bytes > MAX_BYTES) {
            throw new HeathercourseException(
                    ErrorKind.OVERLOADED,
                    "replicas have " + mBytes + " bytes, expected at most " + MAX_BYTES,
                    "replicate the records to another daemon");
        }
        replica.mRecords.addAll(added);
        replica.mChangedNanos = mTicker.readNanos();
        mBytes += bytes;
    }

    /** Returns records of an earlier owner, and rejects further records of earlier owners. */
    synchronized PeerMessage.ReplicaRecords query(PeerMessage.ReplicaQuery message) {
        expire();
        int shard = message.shard();
        mMinFences.merge(shard, message.beforeFence(), Math::max);
        ShardReplica replica = mReplicas.get(shard);
        if (replica == null || replica.mFence >= message.beforeFence()) {
            return new PeerMessage.ReplicaRecords(shard, 0, 0, List.of(), false);
        }
        List<byte[]> page = new ArrayList<>();
        long bytes = 0;
        long number = replica.mFirstNumber;
        long from = Math.max(replica.mFirstNumber, message.fromNumber());
        for (byte[] record : replica.mRecords) {
            if (number >= from) {
                bytes += record.length;
                if (!page.isEmpty() && bytes > MAX_PAGE_BYTES) {
                    break;
                }
                page.add(record);
            }
            number++;
        }
        boolean more = from + page.size() <= replica.lastNumber();
        return new PeerMessage.ReplicaRecords(shard, replica.mFence, from, page, more);
    }

    /** Drops records that are durable. */
    synchronized PeerMessage.ReplicaReply drop(PeerMessage.ReplicaDrop message) {
        expire();
        ShardReplica replica = mReplicas.get(message.shard());
        if (replica != null && replica.mFence == message.fence()) {
            trim(replica, message.upTo());
        }
        if (replica != null && (replica.mFence < message.fence() || replica.mRecords.isEmpty())) {
            remove(message.shard());
        }
        return new PeerMessage.ReplicaReply(message.shard(), message.upTo());
    }

    private void trim(ShardReplica replica, long upTo) {
        while (replica.mFirstNumber <= upTo && !replica.mRecords.isEmpty()) {
            mBytes -= replica.mRecords.poll().length;
            replica.mFirstNumber++;
        }
    }

    private void remove(int shard) {
        ShardReplica replica = mReplicas.remove(shard);
        if (replica != null) {
            trim(replica, Long.MAX_VALUE - 1);
        }
    }

    private void expire() {
        long nowNanos = mTicker.readNanos();
        for (Integer shard : List.copyOf(mReplicas.keySet())) {
            if (nowNanos - mReplicas.get(shard).mChangedNanos > RETENTION_NANOS) {
                remove(shard);
            }
        }
    }
}
