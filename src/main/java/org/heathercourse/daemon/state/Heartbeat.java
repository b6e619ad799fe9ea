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
 * Renews the lease of this daemon by writing its row.
 *
 * <p>Each write is conditional on the version of the previous one. Other daemons take over shards
 * of this daemon only after they have marked its row as dead. A successful write therefore proves
 * that this daemon still owns all its shards, and a row marked as dead means that all are lost.
 * {@link #step} is called by one thread; the other methods are thread-safe.
 */
final class Heartbeat {
    private static final EventLog LOG = EventLog.of(Heartbeat.class);

    /** Result of a step. */
    enum Step {
        WRITTEN,
        RETRY,
        /** A later process runs on this VM, so this one must stop writing. */
        REPLACED
    }

    /** Callbacks to the engine. */
    interface Context {
        String nextCommitId();

        /** Called when this daemon was declared dead or replaced, so that its shards are lost. */
        void onDeclaredDead();
    }

    private final TableStore mTable;
    private final Ticker mTicker;
    private final StoreHealth mHealth;
    private final Context mContext;
    private final AtomicBoolean mLeaseLapsed = new AtomicBoolean();
    private final String mRowKey;
    private volatile DaemonInfo mSelf;
    private volatile boolean mWritten;
    private volatile boolean mReplaced;
    private volatile long mLeaseStartNanos;
    private long mVersion = Row.ABSENT;
    private String mUnresolvedCommitId = "";

    /**
     * Number of the last attempt, which is written as the heartbeat number. It increases with each
     * attempt: if the retry of a write with a lost reply had the same number, observers would see
     * no change and declare this daemon dead within its lease.
     */
    private long mAttempts;

    Heartbeat(
            DaemonInfo self, TableStore table, Ticker ticker, StoreHealth health, Context context) {
        mSelf = self;
        mRowKey = StoreRows.daemonKey(self.vm());
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

    /** Returns whether the lease lapsed since the last call of this method. */
    boolean getAndClearLeaseLapsed() {
        return mLeaseLapsed.getAndSet(false);
    }

    boolean replaced() {
        return mReplaced;
    }

    /**
     * Makes one attempt to write the row.
     *
     * @param periodMillis time until the next heartbeat, in milliseconds; written into the row
     * @param draining whether this daemon is draining
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
                            .put(mRowKey, mVersion, StoreRows.encode(next))
                            .build();
            CommitResult result = mTable.commit(tx);
            mHealth.recordSuccess();
            if (!result.committed()) {
                return resolveConflict();
            }
            mVersion = result.rows().get(0).version();
            onWritten(next, startNanos);
            return Step.WRITTEN;
        } catch (StoreException e) {
            mHealth.recordFailure();
            if (e.outcomeUnknown()) {
                mUnresolvedCommitId = commitId;
            }
            LOG.debug("heartbeat_failed", "cause", e.getMessage());
            return Step.RETRY;
        }
    }

    private void onWritten(DaemonInfo next, long startNanos) {
        if (mWritten && !LeaseRules.leaseValid(mLeaseStartNanos, startNanos)) {
            mLeaseLapsed.set(true);
        }
        mSelf = next;
        mLeaseStartNanos = startNanos;
        mWritten = true;
        mUnresolvedCommitId = "";
    }

    /** Determines from the row why its version differs from the expected one. */
    private Step resolveConflict() {
        Optional<Row> row = mTable.read(mRowKey);
        DaemonInfo found = row.map(StoreRows::decodeDaemon).orElse(mSelf.asDead());
        if (found.declaredDead() && found.incarnation() <= mSelf.incarnation()) {
            LOG.warn("declared_dead", "vm", mSelf.vm());
            mWritten = false;
            mVersion = row.map(Row::version).orElse(Row.ABSENT);
            mContext.onDeclaredDead();
            return Step.RETRY;
        }
        if (found.incarnation() > mSelf.incarnation()
                || (found.incarnation() == mSelf.incarnation() && !mayBeOwnWrite(row.get()))) {
            LOG.warn("replaced", "vm", mSelf.vm(), "incarnation", found.incarnation());
            mReplaced = true;
            mContext.onDeclaredDead();
            return Step.REPLACED;
        }
        mVersion = row.get().version();
        return Step.RETRY;
    }

    /** Returns whether the row may come from a write of this process whose reply was lost. */
    private boolean mayBeOwnWrite(Row row) {
        return row.commitId().startsWith(commitPrefix(mSelf))
                && (mWritten || hasUnresolvedCommit());
    }

    private boolean hasUnresolvedCommit() {
        return !mUnresolvedCommitId.isEmpty();
    }

    /** Returns the common prefix of the commit identities of a process. */
    static String commitPrefix(DaemonInfo self) {
        return self.vm() + "/" + self.incarnation() + "/";
    }

    /** Marks the row of this daemon as dead, after all shards were released. */
    void deregister() {
        byte[] deadRow = StoreRows.encode(mSelf.asDead());
        Transaction tx =
                Transaction.builder(mContext.nextCommitId())
                        .put(mRowKey, mVersion, deadRow)
                        .build();
        mTable.commit(tx);
        mWritten = false;
        mReplaced = true;
    }

    /** Returns the error for a process that was replaced by a later one on its VM. */
    HeathercourseException replacedError() {
        return new HeathercourseException(
                ErrorKind.INVALID_SETTING,
                "incarnation "
                        + mSelf.incarnation()
                        + " of VM "
                        + mSelf.vm()
                        + " was replaced by a later process",
                "start the process with a greater incarnation, or keep the later one running");
    }
}
