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
 * Holds copies of records that owners of shards cannot write during an outage of the store.
 *
 * <p>Keeps for each shard the records of the newest fencing number only, and nothing for longer
 * than {@link #RETENTION_NANOS}. Safe for use by several threads; does not block.
 */
final class ReplicaStore {
    /** Most bytes held; the same bound as for the own records that wait for the store. */
    static final long LIMIT_BYTES = 64L << 20;

    /** Time after the last change of a copy at which it is dropped. */
    static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(2);

    /** Bytes of one reply; a frame between daemons may have up to 16 MiB. */
    private static final long PAGE_BYTES = 2L << 20;

    private final Ticker mTicker;
    private final Map<Integer, Copy> mCopies = new HashMap<>();

    /** Smallest fencing number accepted of a shard after the query of a new owner. */
    private final Map<Integer, Long> mMinFences = new HashMap<>();

    private long mBytes;

    private static final class Copy {
        private final long mFence;
        private final Deque<byte[]> mRecords = new ArrayDeque<>();
        private long mFirst;
        private long mChangedNanos;

        Copy(long fence, long first) {
            mFence = fence;
            mFirst = first;
        }

        long last() {
            return mFirst + mRecords.size() - 1;
        }
    }

    ReplicaStore(Ticker ticker) {
        mTicker = ticker;
    }

    /** Answers the messages of other daemons from now on. */
    void listen(PeerNetwork peers) {
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

    /** Returns the bytes held. */
    synchronized long bytes() {
        return mBytes;
    }

    /**
     * Adds records.
     *
     * @throws HeathercourseException of kind OWNERSHIP_LOST if a later owner is known, or
     *     OVERLOADED if there is no room
     */
    synchronized PeerMessage.ReplicaReply append(PeerMessage.ReplicaAppend message) {
        expire();
        int shard = message.shard();
        Copy copy = mCopies.get(shard);
        long newest = Math.max(mMinFences.getOrDefault(shard, 0L), copy == null ? 0 : copy.mFence);
        if (message.fence() < newest) {
            throw new HeathercourseException(
                    ErrorKind.OWNERSHIP_LOST,
                    "fence of shard " + shard + " is " + message.fence() + ", expected " + newest,
                    "let the new owner of the shard go on");
        }
        if (copy != null && copy.mFence == message.fence()) {
            trim(copy, message.firstNumber() - 1);
        }
        boolean continues =
                copy != null
                        && copy.mFence == message.fence()
                        && !copy.mRecords.isEmpty()
                        && copy.mFirst <= message.firstNumber()
                        && message.fromNumber() <= copy.last() + 1;
        if (!continues) {
            if (message.fromNumber() != message.firstNumber()) {
                return new PeerMessage.ReplicaReply(shard, message.firstNumber() - 1);
            }
            remove(shard);
            copy = new Copy(message.fence(), message.fromNumber());
        }
        add(copy, message);
        mCopies.put(shard, copy);
        return new PeerMessage.ReplicaReply(shard, copy.last());
    }

    private void add(Copy copy, PeerMessage.ReplicaAppend message) {
        long known = copy.last() + 1 - message.fromNumber();
        List<byte[]> added = message.records().stream().skip(Math.max(0, known)).toList();
        long bytes = added.stream().mapToLong(record -> record.length).sum();
        if (mBytes + bytes > LIMIT_BYTES) {
            throw new HeathercourseException(
                    ErrorKind.OVERLOADED,
                    "copies hold " + mBytes + " bytes, expected at most " + LIMIT_BYTES,
                    "send the copy to another daemon");
        }
        copy.mRecords.addAll(added);
        copy.mChangedNanos = mTicker.readNanos();
        mBytes += bytes;
    }

    /** Returns records of an earlier owner and accepts no more of earlier owners. */
    synchronized PeerMessage.ReplicaRecords query(PeerMessage.ReplicaQuery message) {
        expire();
        int shard = message.shard();
        mMinFences.merge(shard, message.beforeFence(), Math::max);
        Copy copy = mCopies.get(shard);
        if (copy == null || copy.mFence >= message.beforeFence()) {
            return new PeerMessage.ReplicaRecords(shard, 0, 0, List.of(), false);
        }
        List<byte[]> page = new ArrayList<>();
        long bytes = 0;
        long number = copy.mFirst;
        long from = Math.max(copy.mFirst, message.fromNumber());
        for (byte[] record : copy.mRecords) {
            if (number >= from) {
                bytes += record.length;
                if (!page.isEmpty() && bytes > PAGE_BYTES) {
                    break;
                }
                page.add(record);
            }
            number++;
        }
        boolean more = from + page.size() <= copy.last();
        return new PeerMessage.ReplicaRecords(shard, copy.mFence, from, page, more);
    }

    /** Drops records that are durable. */
    synchronized PeerMessage.ReplicaReply drop(PeerMessage.ReplicaDrop message) {
        expire();
        Copy copy = mCopies.get(message.shard());
        if (copy != null && copy.mFence == message.fence()) {
            trim(copy, message.upTo());
        }
        if (copy != null && (copy.mFence < message.fence() || copy.mRecords.isEmpty())) {
            remove(message.shard());
        }
        return new PeerMessage.ReplicaReply(message.shard(), message.upTo());
    }

    private void trim(Copy copy, long upTo) {
        while (copy.mFirst <= upTo && !copy.mRecords.isEmpty()) {
            mBytes -= copy.mRecords.poll().length;
            copy.mFirst++;
        }
    }

    private void remove(int shard) {
        Copy copy = mCopies.remove(shard);
        if (copy != null) {
            trim(copy, Long.MAX_VALUE - 1);
        }
    }

    private void expire() {
        long nowNanos = mTicker.readNanos();
        for (Integer shard : List.copyOf(mCopies.keySet())) {
            if (nowNanos - mCopies.get(shard).mChangedNanos > RETENTION_NANOS) {
                remove(shard);
            }
        }
    }
}
