package org.heathercourse.daemon.state;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;

/**
 * Writes the pending appends of all owned shards, one transaction at a time.
 *
 * <p>{@link #step} makes one attempt without delay; the caller schedules retries. A transaction is
 * retried unchanged until its outcome is known. Calls of {@link #step} must not overlap; the other
 * methods may be called by any thread.
 */
final class CommitLoop {
    private static final EventLog LOG = EventLog.of(CommitLoop.class);

    /** Result of a step. */
    enum Step {
        /** Nothing to write. */
        IDLE,
        /** A transaction was committed, or all its shards are lost. */
        DONE,
        /**
         * The store did not answer, or the transaction has to be built again without lost shards.
         */
        RETRY
    }

    /** Callbacks to the engine. */
    interface Context {
        /** Returns the shards that may have work. */
        List<OwnedShard> shards();

        /** Returns a commit identity that is unique over all daemons. */
        String nextCommitId();

        /**
         * Called when the shard is no longer owned by this daemon.
         *
         * @param shard the shard
         * @param work work of the flush that released the shard; null if the shard was lost
         */
        void onShardDropped(OwnedShard shard, OwnedShard.FlushWork work);

        /** Called after a flush of the shard was committed. */
        void onFlushed(OwnedShard shard);

        /** Completes futures on a thread other than those of the loops. */
        void runCompletions(Runnable completions);
    }

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final StoreHealth mHealth;
    private final Context mContext;
    private final Consumer<List<String>> mObjectDeleter;
    private final AtomicLong mPendingBytes = new AtomicLong();
    private InFlightCommit mInFlight;
    private boolean mOutcomeUnknown;
    private int mLastObjectCount;

    CommitLoop(
            TableStore table,
            ObjectStore objects,
            StoreHealth health,
            Context context,
            Consumer<List<String>> objectDeleter) {
        mTable = table;
        mObjects = objects;
        mHealth = health;
        mContext = context;
        mObjectDeleter = objectDeleter;
    }

    long pendingBytes() {
        return mPendingBytes.get();
    }

    void addPendingBytes(OwnedShard.PendingAppend pending) {
        mPendingBytes.addAndGet(pending.frame().length);
    }

    /** Returns the number of objects that the last committed transaction refers to. */
    int lastObjectCount() {
        return mLastObjectCount;
    }

    /** Makes one attempt to commit the current transaction, or a new one if there is none. */
    Step step() {
        if (mInFlight == null) {
            mInFlight = collectWork();
            if (mInFlight == null) {
                return Step.IDLE;
            }
        }
        try {
            if (mOutcomeUnknown) {
                return resolveOutcome();
            }
            List<OwnedShard.Segment> objects = mInFlight.objects();
            while (mInFlight.storedObjectCount() < objects.size()) {
                OwnedShard.Segment segment = objects.get(mInFlight.storedObjectCount());
                mObjects.put(segment.object(), segment.content());
                mInFlight.markObjectStored();
            }
            CommitResult result = mTable.commit(mInFlight.transaction());
            mHealth.recordSuccess();
            if (result.committed()) {
                onCommitted(result.rows());
                return Step.DONE;
            }
            return resolveOutcome();
        } catch (StoreException e) {
            mHealth.recordFailure();
            mOutcomeUnknown |= e.outcomeUnknown();
            LOG.debug("flush_failed", "commit", mInFlight.commitId(), "cause", e.getMessage());
            return Step.RETRY;
        }
    }

    private InFlightCommit collectWork() {
        List<InFlightCommit.Part> parts = new ArrayList<>();
        for (OwnedShard shard : mContext.shards()) {
            OwnedShard.FlushWork work = shard.pollWork();
            if (work != null) {
                ShardRow row = shard.row();
                OwnedShard.Segment segment = segment(work, row.seq() + 1);
                parts.add(new InFlightCommit.Part(shard, work, row, shard.version(), segment));
            }
        }
        return parts.isEmpty() ? null : InFlightCommit.withObjects(mContext.nextCommitId(), parts);
    }

    private static OwnedShard.Segment segment(OwnedShard.FlushWork work, long seq) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        if (work.ownerChangeFrame() != null) {
            content.writeBytes(work.ownerChangeFrame());
        }
        work.batch().forEach(pending -> content.writeBytes(pending.frame()));
        return content.size() == 0
                ? null
                : new OwnedShard.Segment(seq, content.toByteArray(), null);
    }

    /** Determines the outcome of a transaction with a lost reply or a conflict from the rows. */
    private Step resolveOutcome() {
        List<InFlightCommit.CurrentRow> currentRows = mInFlight.readCurrentRows(mTable);
        InFlightCommit.Outcome outcome = mInFlight.determineOutcome(currentRows, mTable);
        mOutcomeUnknown = false;
        if (outcome == InFlightCommit.Outcome.COMMITTED) {
            LOG.info("commit_found", "commit", mInFlight.commitId());
            mHealth.recordSuccess();
            List<InFlightCommit.Part> overwritten = new ArrayList<>();
            List<Row> rows = new ArrayList<>();
            for (InFlightCommit.CurrentRow current : currentRows) {
                if (current.ownWrite()) {
                    String key = StoreRows.shardKey(current.part().shard().id());
                    rows.add(new Row(key, current.version(), mInFlight.commitId(), null));
                } else {
                    overwritten.add(current.part());
                }
            }
            onCommitted(rows);
            overwritten.forEach(part -> dropShard(part.shard(), part.work()));
            return Step.DONE;
        }
        return retryOwnedParts(currentRows);
    }

    /** Drops the parts whose shards are lost and builds a transaction of the remaining parts. */
    private Step retryOwnedParts(List<InFlightCommit.CurrentRow> currentRows) {
        List<InFlightCommit.Part> ownedParts = new ArrayList<>();
        for (InFlightCommit.CurrentRow current : currentRows) {
            if (current.overwritten()) {
                failAll(current.part().work().batch());
                dropShard(current.part().shard(), null);
            } else {
                ownedParts.add(current.part());
            }
        }
        if (ownedParts.size() == currentRows.size()) {
            return Step.RETRY;
        }
        // The old transaction can no longer be committed, because the version of an overwritten
        // row never returns to an earlier value. Its objects are stored already or will be stored
        // again with the same content.
        mInFlight =
                ownedParts.isEmpty()
                        ? null
                        : new InFlightCommit(mContext.nextCommitId(), ownedParts);
        return ownedParts.isEmpty() ? Step.DONE : Step.RETRY;
    }

    private void onCommitted(List<Row> rows) {
        InFlightCommit committed = mInFlight;
        mInFlight = null;
        mLastObjectCount = committed.objects().size();
        for (InFlightCommit.Part part : committed.parts()) {
            String key = StoreRows.shardKey(part.shard().id());
            for (Row row : rows) {
                if (row.key().equals(key)) {
                    applyCommit(part, row.version());
                }
            }
            completeAll(part.work().batch());
        }
    }

    private void applyCommit(InFlightCommit.Part part, long version) {
        OwnedShard shard = part.shard();
        shard.onCommitted(part.work(), part.after(), version, part.segment());
        OwnedShard.SnapshotUpdate update = part.work().snapshotUpdate();
        if (update != null) {
            List<String> names = new ArrayList<>();
            update.replaced().forEach(replaced -> names.add(replaced.name()));
            for (OwnedShard.Segment moved : shard.trimTail(update.lastSeq())) {
                if (moved.object() != null) {
                    names.add(moved.object());
                }
            }
            mObjectDeleter.accept(names);
        }
        if (part.work().release()) {
            dropShard(shard, part.work());
        } else {
            mContext.onFlushed(shard);
        }
    }

    /**
     * Removes a shard; its queued appends fail.
     *
     * @param shard the shard
     * @param work work of the flush that released the shard; null if the shard was lost
     */
    void dropShard(OwnedShard shard, OwnedShard.FlushWork work) {
        failAll(shard.markLost());
        mContext.onShardDropped(shard, work);
    }

    private void completeAll(List<OwnedShard.PendingAppend> batch) {
        subtractPendingBytes(batch);
        if (!batch.isEmpty()) {
            mContext.runCompletions(() -> batch.forEach(pending -> pending.done().complete(null)));
        }
    }

    private void failAll(List<OwnedShard.PendingAppend> batch) {
        subtractPendingBytes(batch);
        if (!batch.isEmpty()) {
            mContext.runCompletions(
                    () ->
                            batch.forEach(
                                    pending ->
                                            pending.done()
                                                    .completeExceptionally(
                                                            ownershipLost(
                                                                    pending.program().value()))));
        }
    }

    private void subtractPendingBytes(List<OwnedShard.PendingAppend> batch) {
        batch.forEach(pending -> mPendingBytes.addAndGet(-pending.frame().length));
    }

    /** Returns the error for a program whose shard is not owned by this daemon. */
    static HeathercourseException ownershipLost(String program) {
        return new HeathercourseException(
                ErrorKind.OWNERSHIP_LOST,
                "this daemon does not own the shard of program " + program,
                "repeat the request; it will be forwarded to the current owner");
    }
}
