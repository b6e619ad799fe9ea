package org.heathercourse.daemon.state;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.ownership.LeaseRules;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Writes the row of this daemon and holds its lease.
 *
 * <p>The write requires the version of the last one. Others take shards of this daemon only after
 * they have written into its row that it is dead, so a write that succeeds proves that all shards
 * are still held, and one that finds the row so changed means that all are lost. {@link #step} is
 * called by one thread; the other methods are safe for use by several threads.
 */
final class Heartbeat {
    private static final EventLog LOG = EventLog.of(Heartbeat.class);

    /** What a step came to. */
    enum Step {
        WRITTEN,
        RETRY,
        /** A later process runs on this VM; this one must not write any more. */
        REPLACED
    }

    /** What the heartbeat needs from its surroundings. */
    interface Context {
        String nextCommitId();

        /** Others declared this daemon dead and may take its shards. */
        void declaredDead();
    }

    private final TableStore mTable;
    private final Ticker mTicker;
    private final StoreHealth mHealth;
    private final Context mContext;
    private final AtomicBoolean mLapsed = new AtomicBoolean();
    private final String mKey;
    private volatile DaemonInfo mSelf;
    private volatile boolean mWritten;
    private volatile boolean mReplaced;
    private volatile long mLeaseStartNanos;
    private long mVersion = Row.ABSENT;
    private String mOpenCommit = "";

    /**
     * Number of the next heartbeat. It rises with each attempt: if the repeat of a write with a
     * lost reply had the same number, observers would see no change and declare this daemon dead
     * within its lease.
     */
    private long mAttempts;

    Heartbeat(
            DaemonInfo self, TableStore table, Ticker ticker, StoreHealth health, Context context) {
        mSelf = self;
        mKey = StoreRows.daemonKey(self.vm());
        mTable = table;
        mTicker = ticker;
        mHealth = health;
        mContext = context;
    }

    DaemonInfo self() {
        return mSelf;
    }

    boolean leaseValid() {
        return mWritten
                && !mReplaced
                && LeaseRules.leaseValid(mLeaseStartNanos, mTicker.readNanos());
    }

    /** Returns whether a lease lapsed since the last call of this method. */
    boolean takeLapsed() {
        return mLapsed.getAndSet(false);
    }

    boolean replaced() {
        return mReplaced;
    }

    /**
     * Makes one attempt to write the row.
     *
     * @param periodMillis period to state in the row
     * @param draining whether this daemon is leaving
     */
    Step step(long periodMillis, boolean draining) {
        if (mReplaced) {
            return Step.REPLACED;
        }
        long startNanos = mTicker.readNanos();
        DaemonInfo next = mSelf.withHeartbeat(++mAttempts, periodMillis, draining);
        String commitId = mContext.nextCommitId();
        try {
            Transaction tx =
                    Transaction.builder(commitId)
                            .put(mKey, mVersion, StoreRows.encode(next))
                            .build();
            CommitResult result = mTable.commit(tx);
            mHealth.succeeded();
            if (!result.committed()) {
                return conflict();
            }
            mVersion = result.rows().get(0).version();
            written(next, startNanos);
            return Step.WRITTEN;
        } catch (StoreException e) {
            mHealth.failed();
            if (e.outcomeUnknown()) {
                mOpenCommit = commitId;
            }
            LOG.debug("heartbeat_failed", "cause", e.getMessage());
            return Step.RETRY;
        }
    }

    private void written(DaemonInfo next, long startNanos) {
        if (mWritten && !LeaseRules.leaseValid(mLeaseStartNanos, startNanos)) {
            mLapsed.set(true);
        }
        mSelf = next;
        mLeaseStartNanos = startNanos;
        mWritten = true;
        mOpenCommit = "";
    }

    /** Finds out why the row had another version. */
    private Step conflict() {
        Optional<Row> row = mTable.read(mKey);
        DaemonInfo found = row.map(StoreRows::daemon).orElse(mSelf.asDead());
        if (found.declaredDead() && found.incarnation() <= mSelf.incarnation()) {
            LOG.warn("declared_dead", "vm", mSelf.vm());
            mWritten = false;
            mVersion = row.map(Row::version).orElse(Row.ABSENT);
            mContext.declaredDead();
            return Step.RETRY;
        }
        if (found.incarnation() > mSelf.incarnation()
                || (found.incarnation() == mSelf.incarnation() && !mayBeOwn(row.get()))) {
            LOG.warn("replaced", "vm", mSelf.vm(), "incarnation", found.incarnation());
            mReplaced = true;
            mContext.declaredDead();
            return Step.REPLACED;
        }
        mVersion = row.get().version();
        return Step.RETRY;
    }

    /** A write with a lost reply has its own identity in the row. */
    private boolean mayBeOwn(Row row) {
        return row.commitId().startsWith(commitPrefix(mSelf)) && (mWritten || hasOpenCommit());
    }

    private boolean hasOpenCommit() {
        return !mOpenCommit.isEmpty();
    }

    /** Returns the start of all commit identities of a process. */
    static String commitPrefix(DaemonInfo self) {
        return self.vm() + "/" + self.incarnation() + "/";
    }

    /** Writes into the row that this daemon is gone, after all shards were released. */
    void leave() {
        byte[] gone = StoreRows.encode(mSelf.asDead());
        Transaction tx =
                Transaction.builder(mContext.nextCommitId()).put(mKey, mVersion, gone).build();
        mTable.commit(tx);
        mWritten = false;
        mReplaced = true;
    }

    /** Returns the error of a process whose VM runs a later one. */
    HeathercourseException replacedError() {
        return new HeathercourseException(
                ErrorKind.INVALID_SETTING,
                "incarnation "
                        + mSelf.incarnation()
                        + " of VM "
                        + mSelf.vm()
                        + " was replaced by a later process",
                "start the process with a greater incarnation, or leave the later one running");
    }
}
