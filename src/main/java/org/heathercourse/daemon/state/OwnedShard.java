package org.heathercourse.daemon.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.program.LogCodec;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.core.program.ShardState;

/**
 * A shard that this daemon owns: programs, records on their way to the store and running uses.
 *
 * <p>Life cycle: serving, releasing (no new uses), closed (the release is on its way), lost. Safe
 * for use by several threads; the row, its version and the tail belong to the flush thread.
 */
final class OwnedShard {
    /** Stations of the life cycle. */
    enum Phase {
        SERVING,
        RELEASING,
        CLOSED,
        LOST
    }

    /** Records of one append that are not durable yet, with the number of the append. */
    record Pending(
            long number,
            ProgramId program,
            byte[] frame,
            ProgramState after,
            CompletableFuture<Void> done) {}

    /** Appends that are not durable: the number of the first of all, and some of them in order. */
    record Open(long firstNumber, List<Pending> appends) {}

    /** A durable log segment that is in no snapshot. */
    record Segment(long seq, byte[] content, String object) {}

    /** A snapshot whose objects are stored and that the next flush puts into the row. */
    record Cut(
            List<ShardRow.SnapshotPart> snapshot, long upToSeq, List<ShardRow.SnapshotPart> old) {}

    /** What one flush does for the shard. */
    record Work(List<Pending> batch, byte[] mark, Cut cut, boolean release, VmId successor) {}

    /**
     * Size at which a flush takes no more records of a shard. After an outage tens of megabytes may
     * wait, and one object of that size could exceed the timeout of the object store again and
     * again.
     */
    private static final long BATCH_BYTES = 4 << 20;

    private final ShardId mId;
    private final long mFence;
    private final ShardState mState;
    private final Map<ProgramId, ProgramState> mDurable = new HashMap<>();
    private final Deque<Pending> mPending = new ArrayDeque<>();

    /** Appends that are not durable, those handed to a flush included. */
    private final Deque<Pending> mOpen = new ArrayDeque<>();

    private long mLastNumber;
    private byte[] mMark;
    private Cut mCut;
    private boolean mCompacting;
    private VmId mSuccessor;
    private int mUses;
    private volatile Phase mPhase = Phase.SERVING;

    private ShardRow mRow;
    private long mVersion;
    private final List<Segment> mTail;
    private long mTailBytes;

    /**
     * Creates a shard after its takeover.
     *
     * @param id the shard
     * @param row its row as taken
     * @param version version of that row
     * @param state programs as a new owner has to see them
     * @param tail segments that are in no snapshot
     * @param mark frame that the first flush has to write; null if the change of owner changed no
     *     program
     */
    OwnedShard(
            ShardId id,
            ShardRow row,
            long version,
            ShardState state,
            List<Segment> tail,
            byte[] mark) {
        mId = id;
        mFence = row.fence();
        mRow = row;
        mLastNumber = row.records();
        mVersion = version;
        mState = state;
        mTail = new ArrayList<>(tail);
        mTail.forEach(segment -> mTailBytes += segment.content().length);
        mMark = mark;
        state.programs().forEach(program -> mDurable.put(program.program(), program));
    }

    ShardId id() {
        return mId;
    }

    long fence() {
        return mFence;
    }

    Phase phase() {
        return mPhase;
    }

    Optional<ProgramState> find(ProgramId program) {
        return mState.find(program);
    }

    ShardState state() {
        return mState;
    }

    /**
     * Adds records and applies them.
     *
     * @param added called before the entry can be taken by a flush
     * @return the entry, or null if the shard takes no records any more
     * @throws HeathercourseException if the records do not fit the program
     */
    Pending append(
            ProgramId program, List<LogRecord> records, long nowMillis, Consumer<Pending> added) {
        byte[] frame = LogCodec.encode(records);
        synchronized (this) {
            return append(program, records, frame, nowMillis, added);
        }
    }

    private Pending append(
            ProgramId program,
            List<LogRecord> records,
            byte[] frame,
            long nowMillis,
            Consumer<Pending> added) {
        if (mPhase == Phase.CLOSED || mPhase == Phase.LOST) {
            return null;
        }
        check(program, records);
        ProgramState after = mState.apply(records, nowMillis).orElseThrow();
        Pending pending =
                new Pending(++mLastNumber, program, frame, after, new CompletableFuture<>());
        added.accept(pending);
        mPending.add(pending);
        mOpen.add(pending);
        return pending;
    }

    private void check(ProgramId program, List<LogRecord> records) {
        Optional<ProgramState> known = mState.find(program);
        if (known.isEmpty() && !(records.get(0) instanceof LogRecord.ProgramStarted)) {
            throw new HeathercourseException(
                    ErrorKind.UNKNOWN_PROGRAM,
                    "program " + program + " is not known to the owner of its shard",
                    "start the program first");
        }
        for (LogRecord record : records) {
            if (!record.program().equals(program)) {
                throw new IllegalArgumentException(
                        "record of program " + record.program() + ", expected " + program);
            }
            if (record instanceof LogRecord.IntentRecorded intent
                    && known.isPresent()
                    && !known.get().acceptsIntent(intent)) {
                throw new HeathercourseException(
                        ErrorKind.CONFLICT,
                        "call " + intent.request() + " of " + program + " already has a record",
                        "read the recorded outcome of the call");
            }
        }
    }

    synchronized boolean tryUse() {
        if (mPhase != Phase.SERVING) {
            return false;
        }
        mUses++;
        return true;
    }

    /** Ends a use and returns whether a flush is needed to release the shard. */
    synchronized boolean endUse() {
        mUses--;
        return mUses == 0 && mPhase == Phase.RELEASING;
    }

    synchronized int uses() {
        return mUses;
    }

    /** Stops new uses; the shard is released by a flush once none is running. */
    synchronized void release(VmId successor) {
        if (mPhase == Phase.SERVING) {
            mPhase = Phase.RELEASING;
        }
        mSuccessor = successor;
    }

    /** Returns what the next flush has to do, or null if there is nothing. */
    synchronized Work takeWork() {
        if (mPhase == Phase.CLOSED || mPhase == Phase.LOST) {
            return null;
        }
        boolean releasable = mPhase == Phase.RELEASING && mUses == 0;
        if (mPending.isEmpty() && mMark == null && mCut == null && !releasable) {
            return null;
        }
        List<Pending> batch = takeBatch();
        boolean release = releasable && mPending.isEmpty();
        Work work = new Work(batch, mMark, mCut, release, mSuccessor);
        mMark = null;
        mCut = null;
        if (release) {
            mPhase = Phase.CLOSED;
        }
        return work;
    }

    private List<Pending> takeBatch() {
        List<Pending> batch = new ArrayList<>();
        long bytes = 0;
        while (!mPending.isEmpty() && bytes < BATCH_BYTES) {
            Pending next = mPending.poll();
            bytes += next.frame().length;
            batch.add(next);
        }
        return batch;
    }

    synchronized boolean hasWork() {
        return mPhase != Phase.CLOSED
                && mPhase != Phase.LOST
                && (!mPending.isEmpty()
                        || mMark != null
                        || mCut != null
                        || (mPhase == Phase.RELEASING && mUses == 0));
    }

    /** Notes that a flush took effect. */
    synchronized void committed(Work work, ShardRow row, long version, Segment segment) {
        mRow = row;
        mVersion = version;
        while (!mOpen.isEmpty() && mOpen.peek().number() <= row.records()) {
            mOpen.poll();
        }
        for (Pending pending : work.batch()) {
            if (mState.find(pending.program()).isPresent()) {
                mDurable.put(pending.program(), pending.after());
            }
        }
        if (segment != null) {
            mTail.add(segment);
            mTailBytes += segment.content().length;
        }
        if (work.cut() != null) {
            mCompacting = false;
        }
    }

    /** Removes the segments that a cut has moved into the snapshot and returns them. */
    synchronized List<Segment> cutTail(long upToSeq) {
        List<Segment> gone = mTail.stream().filter(segment -> segment.seq() <= upToSeq).toList();
        mTail.removeAll(gone);
        gone.forEach(segment -> mTailBytes -= segment.content().length);
        return gone;
    }

    /** Stops the shard and returns the records that were not handed to a flush. */
    synchronized List<Pending> lose() {
        mPhase = Phase.LOST;
        List<Pending> dropped = List.copyOf(mPending);
        mPending.clear();
        return dropped;
    }

    synchronized boolean startCompaction(int segments, long bytes) {
        boolean due = mTail.size() > segments || mTailBytes > bytes;
        if (!due || mCompacting || mPhase == Phase.LOST) {
            return false;
        }
        mCompacting = true;
        return true;
    }

    synchronized void endCompaction(Cut cut) {
        mCut = cut;
        mCompacting = cut != null;
    }

    synchronized List<Segment> tail() {
        return List.copyOf(mTail);
    }

    synchronized List<ProgramState> durablePrograms() {
        return List.copyOf(mDurable.values());
    }

    synchronized void expire(long nowMillis) {
        mState.expire(nowMillis).forEach(mDurable::remove);
    }

    /** Returns the number of the last append of a program that is not durable; 0 if all are. */
    synchronized long lastOpen(ProgramId program) {
        Iterator<Pending> newestFirst = mOpen.descendingIterator();
        while (newestFirst.hasNext()) {
            Pending pending = newestFirst.next();
            if (pending.program().equals(program)) {
                return pending.number();
            }
        }
        return 0;
    }

    /** Returns appends that are not durable, at least one if there is one with such a number. */
    synchronized Open open(long fromNumber, long maxBytes) {
        List<Pending> appends = new ArrayList<>();
        long bytes = 0;
        for (Pending pending : mOpen) {
            if (pending.number() >= fromNumber) {
                bytes += pending.frame().length;
                if (!appends.isEmpty() && bytes > maxBytes) {
                    break;
                }
                appends.add(pending);
            }
        }
        return new Open(mRow.records() + 1, appends);
    }

    synchronized ShardRow row() {
        return mRow;
    }

    synchronized long version() {
        return mVersion;
    }
}
