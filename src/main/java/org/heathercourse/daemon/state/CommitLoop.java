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
 * Writes the pending records of all owned shards, one transaction at a time.
 *
 * <p>{@link #step} makes one attempt and never waits, so that the caller decides about pauses. A
 * transaction stays the same until its outcome is known. All methods are called by one thread,
 * except {@link #pendingBytes}.
 */
final class CommitLoop {
    private static final EventLog LOG = EventLog.of(CommitLoop.class);

    /** What a step came to. */
    enum Step {
        /** Nothing to write. */
        IDLE,
        /** A transaction took effect or was dropped. */
        DONE,
        /** The store did not answer, or the transaction has to be made anew. */
        RETRY
    }

    /** What the loop needs from its surroundings. */
    interface Context {
        /** Returns the shards that may have work. */
        List<OwnedShard> shards();

        /** Returns a commit identity that is unique over all daemons. */
        String nextCommitId();

        /**
         * The shard now belongs to another daemon, or to none.
         *
         * @param shard the shard
         * @param work what the last flush did; null if the shard was lost
         */
        void dropped(OwnedShard shard, OwnedShard.Work work);

        /** A flush of the shard took effect. */
        void flushed(OwnedShard shard);

        /** Runs the dependents of futures apart from the threads of the loops. */
        void complete(Runnable completions);
    }

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final StoreHealth mHealth;
    private final Context mContext;
    private final Consumer<List<String>> mObjectDeleter;
    private final AtomicLong mPendingBytes = new AtomicLong();
    private Flight mFlight;
    private boolean mOutcomeOpen;
    private int mLastObjects;

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

    void added(OwnedShard.Pending pending) {
        mPendingBytes.addAndGet(pending.frame().length);
    }

    /** Returns the number of objects that the last transaction referred to. */
    int lastObjects() {
        return mLastObjects;
    }

    /** Makes one attempt to write. */
    Step step() {
        if (mFlight == null) {
            mFlight = gather();
            if (mFlight == null) {
                return Step.IDLE;
            }
        }
        try {
            if (mOutcomeOpen) {
                return resolve();
            }
            List<OwnedShard.Segment> objects = mFlight.objects();
            while (mFlight.objectsStored() < objects.size()) {
                OwnedShard.Segment segment = objects.get(mFlight.objectsStored());
                mObjects.put(segment.object(), segment.content());
                mFlight.objectStored();
            }
            CommitResult result = mTable.commit(mFlight.transaction());
            mHealth.succeeded();
            if (result.committed()) {
                tookEffect(result.rows());
                return Step.DONE;
            }
            return resolve();
        } catch (StoreException e) {
            mHealth.failed();
            mOutcomeOpen |= e.outcomeUnknown();
            LOG.debug("flush_failed", "commit", mFlight.commitId(), "cause", e.getMessage());
            return Step.RETRY;
        }
    }

    private Flight gather() {
        List<Flight.Part> parts = new ArrayList<>();
        for (OwnedShard shard : mContext.shards()) {
            OwnedShard.Work work = shard.takeWork();
            if (work != null) {
                ShardRow row = shard.row();
                OwnedShard.Segment segment = segment(work, row.seq() + 1);
                parts.add(new Flight.Part(shard, work, row, shard.version(), segment));
            }
        }
        return parts.isEmpty() ? null : Flight.of(mContext.nextCommitId(), parts);
    }

    private static OwnedShard.Segment segment(OwnedShard.Work work, long seq) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        if (work.mark() != null) {
            content.writeBytes(work.mark());
        }
        work.batch().forEach(pending -> content.writeBytes(pending.frame()));
        return content.size() == 0
                ? null
                : new OwnedShard.Segment(seq, content.toByteArray(), null);
    }

    /** Reads back what a transaction with a lost reply or a conflict came to. */
    private Step resolve() {
        List<Flight.Reading> readings = mFlight.read(mTable);
        Flight.Outcome outcome = mFlight.outcome(readings, mTable);
        mOutcomeOpen = false;
        if (outcome == Flight.Outcome.TOOK_EFFECT) {
            LOG.info("commit_found", "commit", mFlight.commitId());
            mHealth.succeeded();
            List<Flight.Part> lost = new ArrayList<>();
            List<Row> rows = new ArrayList<>();
            for (Flight.Reading reading : readings) {
                if (reading.ours()) {
                    String key = StoreRows.shardKey(reading.part().shard().id());
                    rows.add(new Row(key, reading.version(), mFlight.commitId(), null));
                } else {
                    lost.add(reading.part());
                }
            }
            tookEffect(rows);
            lost.forEach(part -> drop(part.shard(), part.work()));
            return Step.DONE;
        }
        return keepOwned(readings);
    }

    /** Drops the parts whose shards are lost and prepares the rest for another attempt. */
    private Step keepOwned(List<Flight.Reading> readings) {
        List<Flight.Part> kept = new ArrayList<>();
        for (Flight.Reading reading : readings) {
            if (reading.lost()) {
                fail(reading.part().work().batch());
                drop(reading.part().shard(), null);
            } else {
                kept.add(reading.part());
            }
        }
        if (kept.size() == readings.size()) {
            return Step.RETRY;
        }
        // The old transaction can no longer take effect: the version of a lost row only rises.
        // Its objects are stored already or are stored again with the same content.
        mFlight = kept.isEmpty() ? null : new Flight(mContext.nextCommitId(), kept);
        return kept.isEmpty() ? Step.DONE : Step.RETRY;
    }

    private void tookEffect(List<Row> rows) {
        Flight flight = mFlight;
        mFlight = null;
        mLastObjects = flight.objects().size();
        for (Flight.Part part : flight.parts()) {
            String key = StoreRows.shardKey(part.shard().id());
            for (Row row : rows) {
                if (row.key().equals(key)) {
                    committed(part, row.version());
                }
            }
            complete(part.work().batch());
        }
    }

    private void committed(Flight.Part part, long version) {
        OwnedShard shard = part.shard();
        shard.committed(part.work(), part.after(), version, part.segment());
        OwnedShard.Cut cut = part.work().cut();
        if (cut != null) {
            List<String> names = new ArrayList<>();
            cut.old().forEach(old -> names.add(old.name()));
            for (OwnedShard.Segment gone : shard.cutTail(cut.upToSeq())) {
                if (gone.object() != null) {
                    names.add(gone.object());
                }
            }
            mObjectDeleter.accept(names);
        }
        if (part.work().release()) {
            drop(shard, part.work());
        } else {
            mContext.flushed(shard);
        }
    }

    /** Gives up a shard; its records that were not committed fail. */
    void drop(OwnedShard shard, OwnedShard.Work work) {
        fail(shard.lose());
        mContext.dropped(shard, work);
    }

    private void complete(List<OwnedShard.Pending> batch) {
        settle(batch);
        if (!batch.isEmpty()) {
            mContext.complete(() -> batch.forEach(pending -> pending.done().complete(null)));
        }
    }

    private void fail(List<OwnedShard.Pending> batch) {
        settle(batch);
        if (!batch.isEmpty()) {
            mContext.complete(
                    () ->
                            batch.forEach(
                                    pending ->
                                            pending.done()
                                                    .completeExceptionally(
                                                            lost(pending.program().value()))));
        }
    }

    private void settle(List<OwnedShard.Pending> batch) {
        batch.forEach(pending -> mPendingBytes.addAndGet(-pending.frame().length));
    }

    /** Returns the error of records that were not written because the shard was lost. */
    static HeathercourseException lost(String program) {
        return new HeathercourseException(
                ErrorKind.OWNERSHIP_LOST,
                "this daemon does not own the shard of program " + program,
                "repeat the request; it will be passed to the present owner");
    }
}
