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
 * A shard that this daemon owns: its programs, the appends that are not durable, and its uses.
 *
 * <p>Life cycle: see {@link Phase}. Thread-safe; the row, its version and the tail are changed only
 * by the flush thread.
 */
final class OwnedShard {
    /** Phase of the life cycle. */
    enum Phase {
        /** Accepts uses and appends. */
        SERVING,
        /** Accepts appends, but no new uses. */
        RELEASING,
        /** Accepts nothing; the flush that releases the shard is in progress. */
        CLOSED,
        /** No longer owned by this daemon. */
        LOST
    }

    /**
     * The records of one append that is not durable yet.
     *
     * @param number number of the append within the shard
     * @param program the program
     * @param frame the encoded records
     * @param after state of the program after the append
     * @param done completes when the append is durable
     */
    record PendingAppend(
            long number,
            ProgramId program,
            byte[] frame,
            ProgramState after,
            CompletableFuture<Void> done) {}

    /**
     * A range of the appends that are not durable.
     *
     * @param firstNumber number of the first append of the shard that is not durable
     * @param appends the range, in order
     */
    record NonDurableAppends(long firstNumber, List<PendingAppend> appends) {}

    /**
     * A log segment that is not part of the snapshot.
     *
     * @param seq its sequence number
     * @param content the encoded records
     * @param object name of the object that stores it; null if the log row stores it
     */
    record Segment(long seq, byte[] content, String object) {}

    /**
     * A new snapshot whose objects are stored and that the next flush writes into the row.
     *
     * @param snapshot the objects of the snapshot
     * @param lastSeq sequence number of the last log segment that the snapshot covers
     * @param replaced objects of the old snapshot that are to be deleted
     */
    record SnapshotUpdate(
            List<ShardRow.SnapshotPart> snapshot,
            long lastSeq,
            List<ShardRow.SnapshotPart> replaced) {}

    /**
     * The work of one flush for the shard.
     *
     * @param batch appends to write
     * @param ownerChangeFrame frame that records the change of owner; null if there is none
     * @param snapshotUpdate new snapshot; null if there is none
     * @param release whether the flush releases the shard
     * @param successor VM that should take over a released shard; null if there is none
     */
    record FlushWork(
            List<PendingAppend> batch,
            byte[] ownerChangeFrame,
            SnapshotUpdate snapshotUpdate,
            boolean release,
            VmId successor) {}

    /**
     * Size at which a flush adds no more appends of a shard to its batch. After an outage tens of
     * megabytes may be queued, and writing them as one object could repeatedly exceed the timeout
     * of the object store.
     */
    private static final long MAX_BATCH_BYTES = 4 << 20;

    private final ShardId mId;
    private final long mFence;
    private final ShardState mState;
    private final Map<ProgramId, ProgramState> mDurable = new HashMap<>();
    private final Deque<PendingAppend> mUnflushed = new ArrayDeque<>();

    /** Appends that are not durable, including those of the flush in progress. */
    private final Deque<PendingAppend> mNonDurable = new ArrayDeque<>();

    private long mLastNumber;
    private byte[] mOwnerChangeFrame;
    private SnapshotUpdate mSnapshotUpdate;
    private boolean mCompacting;
    private VmId mSuccessor;
    private int mUseCount;
    private volatile Phase mPhase = Phase.SERVING;

    private ShardRow mRow;
    private long mVersion;
    private final List<Segment> mTail;
    private long mTailBytes;

    /**
     * Creates a shard after its takeover.
     *
     * @param id the shard
     * @param row its row after the takeover
     * @param version version of that row
     * @param state programs with the effects of the change of owner applied
     * @param tail log segments that are not part of the snapshot
     * @param ownerChangeFrame frame that the first flush has to write; null if the change of owner
     *     changed no program
     */
    OwnedShard(
            ShardId id,
            ShardRow row,
            long version,
            ShardState state,
            List<Segment> tail,
            byte[] ownerChangeFrame) {
        mId = id;
        mFence = row.fence();
        mRow = row;
        mLastNumber = row.records();
        mVersion = version;
        mState = state;
        mTail = new ArrayList<>(tail);
        mTail.forEach(segment -> mTailBytes += segment.content().length);
        mOwnerChangeFrame = ownerChangeFrame;
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
     * Applies records to the state and queues them for the next flush.
     *
     * @param program program of all records
     * @param records the records, at least one
     * @param nowMillis current ticker time in milliseconds
     * @param onAdded called before a flush can pick up the append
     * @return the append, or null if the shard is closed or lost
     * @throws HeathercourseException of kind UNKNOWN_PROGRAM if the program was not started, or
     *     CONFLICT if the call of an intent already has a record
     */
    PendingAppend append(
            ProgramId program,
            List<LogRecord> records,
            long nowMillis,
            Consumer<PendingAppend> onAdded) {
        byte[] frame = LogCodec.encode(records);
        synchronized (this) {
            return append(program, records, frame, nowMillis, onAdded);
        }
    }

    private PendingAppend append(
            ProgramId program,
            List<LogRecord> records,
            byte[] frame,
            long nowMillis,
            Consumer<PendingAppend> onAdded) {
        if (mPhase == Phase.CLOSED || mPhase == Phase.LOST) {
            return null;
        }
        validate(program, records);
        ProgramState after = mState.apply(records, nowMillis).orElseThrow();
        PendingAppend pending =
                new PendingAppend(++mLastNumber, program, frame, after, new CompletableFuture<>());
        onAdded.accept(pending);
        mUnflushed.add(pending);
        mNonDurable.add(pending);
        return pending;
    }

    private void validate(ProgramId program, List<LogRecord> records) {
        Optional<ProgramState> existing = mState.find(program);
        if (existing.isEmpty() && !(records.get(0) instanceof LogRecord.ProgramStarted)) {
            throw new HeathercourseException(
                    ErrorKind.UNKNOWN_PROGRAM,
                    "program " + program + " does not exist in its shard",
                    "start the program first");
        }
        for (LogRecord record : records) {
            if (!record.program().equals(program)) {
                throw new IllegalArgumentException(
                        "record of program " + record.program() + ", expected " + program);
            }
            if (record instanceof LogRecord.IntentRecorded intent
                    && existing.isPresent()
                    && !existing.get().acceptsIntent(intent)) {
                throw new HeathercourseException(
                        ErrorKind.CONFLICT,
                        "call " + intent.request() + " of " + program + " already has a record",
                        "read the recorded outcome of the call");
            }
        }
    }

    synchronized boolean tryAcquireUse() {
        if (mPhase != Phase.SERVING) {
            return false;
        }
        mUseCount++;
        return true;
    }

    /** Ends a use; returns whether a flush can now release the shard. */
    synchronized boolean releaseUse() {
        mUseCount--;
        return mUseCount == 0 && mPhase == Phase.RELEASING;
    }

    synchronized int useCount() {
        return mUseCount;
    }

    /** Rejects new uses from now on; a flush releases the shard once no use is left. */
    synchronized void startRelease(VmId successor) {
        if (mPhase == Phase.SERVING) {
            mPhase = Phase.RELEASING;
        }
        mSuccessor = successor;
    }

    /** Removes and returns the work of the next flush, or null if there is none. */
    synchronized FlushWork pollWork() {
        if (mPhase == Phase.CLOSED || mPhase == Phase.LOST) {
            return null;
        }
        boolean releasable = mPhase == Phase.RELEASING && mUseCount == 0;
        if (mUnflushed.isEmpty()
                && mOwnerChangeFrame == null
                && mSnapshotUpdate == null
                && !releasable) {
            return null;
        }
        List<PendingAppend> batch = pollBatch();
        boolean release = releasable && mUnflushed.isEmpty();
        FlushWork work =
                new FlushWork(batch, mOwnerChangeFrame, mSnapshotUpdate, release, mSuccessor);
        mOwnerChangeFrame = null;
        mSnapshotUpdate = null;
        if (release) {
            mPhase = Phase.CLOSED;
        }
        return work;
    }

    private List<PendingAppend> pollBatch() {
        List<PendingAppend> batch = new ArrayList<>();
        long bytes = 0;
        while (!mUnflushed.isEmpty() && bytes < MAX_BATCH_BYTES) {
            PendingAppend next = mUnflushed.poll();
            bytes += next.frame().length;
            batch.add(next);
        }
        return batch;
    }

    synchronized boolean hasWork() {
        return mPhase != Phase.CLOSED
                && mPhase != Phase.LOST
                && (!mUnflushed.isEmpty()
                        || mOwnerChangeFrame != null
                        || mSnapshotUpdate != null
                        || (mPhase == Phase.RELEASING && mUseCount == 0));
    }

    /** Applies the result of a committed flush. */
    synchronized void onCommitted(FlushWork work, ShardRow row, long version, Segment segment) {
        mRow = row;
        mVersion = version;
        while (!mNonDurable.isEmpty() && mNonDurable.peek().number() <= row.records()) {
            mNonDurable.poll();
        }
        for (PendingAppend pending : work.batch()) {
            if (mState.find(pending.program()).isPresent()) {
                mDurable.put(pending.program(), pending.after());
            }
        }
        if (segment != null) {
            mTail.add(segment);
            mTailBytes += segment.content().length;
        }
        if (work.snapshotUpdate() != null) {
            mCompacting = false;
        }
    }

    /** Removes and returns the segments up to a sequence number, which the snapshot now covers. */
    synchronized List<Segment> trimTail(long lastSeq) {
        List<Segment> moved = mTail.stream().filter(segment -> segment.seq() <= lastSeq).toList();
        mTail.removeAll(moved);
        moved.forEach(segment -> mTailBytes -= segment.content().length);
        return moved;
    }

    /** Marks the shard as lost and returns the appends that no flush has picked up. */
    synchronized List<PendingAppend> markLost() {
        mPhase = Phase.LOST;
        List<PendingAppend> dropped = List.copyOf(mUnflushed);
        mUnflushed.clear();
        return dropped;
    }

    /** Starts a compaction if the tail exceeds a limit and none is running. */
    synchronized boolean tryStartCompaction(int maxSegments, long maxBytes) {
        boolean exceeded = mTail.size() > maxSegments || mTailBytes > maxBytes;
        if (!exceeded || mCompacting || mPhase == Phase.LOST) {
            return false;
        }
        mCompacting = true;
        return true;
    }

    /**
     * Ends a compaction.
     *
     * @param update the new snapshot; null if the compaction failed
     */
    synchronized void finishCompaction(SnapshotUpdate update) {
        mSnapshotUpdate = update;
        mCompacting = update != null;
    }

    synchronized List<Segment> tail() {
        return List.copyOf(mTail);
    }

    synchronized List<ProgramState> durablePrograms() {
        return List.copyOf(mDurable.values());
    }

    synchronized void expirePrograms(long nowMillis) {
        mState.expire(nowMillis).forEach(mDurable::remove);
    }

    /** Returns the number of the last append of a program that is not durable, or 0 if all are. */
    synchronized long lastNonDurable(ProgramId program) {
        Iterator<PendingAppend> newestFirst = mNonDurable.descendingIterator();
        while (newestFirst.hasNext()) {
            PendingAppend pending = newestFirst.next();
            if (pending.program().equals(program)) {
                return pending.number();
            }
        }
        return 0;
    }

    /**
     * Returns appends that are not durable.
     *
     * @param fromNumber smallest number to return
     * @param maxBytes limit of the total size; a single larger append is returned nevertheless
     */
    synchronized NonDurableAppends nonDurableAppends(long fromNumber, long maxBytes) {
        List<PendingAppend> appends = new ArrayList<>();
        long bytes = 0;
        for (PendingAppend pending : mNonDurable) {
            if (pending.number() >= fromNumber) {
                bytes += pending.frame().length;
                if (!appends.isEmpty() && bytes > maxBytes) {
                    break;
                }
                appends.add(pending);
            }
        }
        return new NonDurableAppends(mRow.records() + 1, appends);
    }

    synchronized ShardRow row() {
        return mRow;
    }

    synchronized long version() {
        return mVersion;
    }
}
