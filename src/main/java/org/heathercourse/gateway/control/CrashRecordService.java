package org.heathercourse.gateway.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.heathercourse.core.crash.Crash;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * The record of requests that crash targets, which all gateways share in one row of the store.
 *
 * <p>Changes of this gateway take effect here at once and are written together a little later, with
 * the version that the row must have. If another gateway has written in between, the changes are
 * applied to its row. Changes are idempotent, so that a write whose reply was lost is repeated
 * safely. While the store is down they are kept and count at this gateway only.
 *
 * <p>The state is confined to the control thread. Methods that say so may be called by any thread.
 */
public final class CrashRecordService {
    /** Maximum time in milliseconds from a change to the start of its write. */
    static final long FLUSH_DELAY_MILLIS = 150;

    /** Delay in milliseconds before a failed write is retried. */
    static final long RETRY_DELAY_MILLIS = 1_000;

    /**
     * Maximum delay in milliseconds before a write is repeated that another gateway forestalled.
     * All gateways with requests on a target notice its end and write at the same time.
     */
    static final long MAX_CONFLICT_DELAY_MILLIS = 40;

    /** Maximum number of changes that wait to be written; the oldest are dropped beyond it. */
    static final int MAX_PENDING_CHANGES = 2 * CrashTable.MAX_ENTRIES;

    /** Key of the row. */
    static final RowKey ROW = new RowKey("member", "", "crashes");

    private static final EventLog LOG = EventLog.of(CrashRecordService.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mClock;
    private final RandomGenerator mRandom;

    /** Tells apart the gateways whose clocks the times of crashes are of. */
    private final String mObserver;

    private final Deque<Change> mPending = new ArrayDeque<>();
    private List<Change> mWriting = List.of();
    private CrashTable mStored = CrashTable.EMPTY;
    private long mStoredVersion = StoredRow.ABSENT;
    private boolean mFlushScheduled;
    private volatile CrashTable mTable = CrashTable.EMPTY;

    /** A change of the table that has the same result if it is applied again. */
    @FunctionalInterface
    private interface Change {
        CrashTable applyTo(CrashTable table);
    }

    /**
     * Creates a record that is empty until the row is read.
     *
     * @param store store of the row
     * @param control the control thread
     * @param clock its wall-clock time is the time of crashes
     * @param random names this gateway's clock, and spreads the writes of several gateways
     */
    CrashRecordService(
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock clock,
            RandomGenerator random) {
        mStore = store;
        mControl = control;
        mClock = clock;
        mRandom = random;
        mObserver = Long.toString(random.nextLong() & Long.MAX_VALUE, Character.MAX_RADIX);
    }

    // For any thread

    /** Returns the newest table, with this gateway's changes. May be called by any thread. */
    public CrashTable table() {
        return mTable;
    }

    /**
     * Returns whether a request must not be sent to targets now. May be called by any thread; costs
     * little, in particular if there are no entries.
     */
    public boolean isQuarantined(RequestDigest digest) {
        CrashTable table = mTable;
        return table.isQuarantined(digest) && table.quarantineEndMillis(digest) > nowMillis();
    }

    /**
     * Records that a target ended while it ran a request. May be called by any thread.
     *
     * @param digest the request
     * @param targetIncarnation identity of the target's process that ended
     * @param runMillis time in milliseconds since the request was sent to the target
     * @return completes on the control thread when {@link #table} has the crash
     */
    public CompletableFuture<Void> recordCrash(
            RequestDigest digest, String targetIncarnation, long runMillis) {
        long endedMillis = nowMillis();
        Crash crash = new Crash(targetIncarnation, mObserver, endedMillis - runMillis, endedMillis);
        return CompletableFuture.runAsync(() -> addCrash(digest, crash), mControl);
    }

    /**
     * Records that a target ran a request to its end. May be called by any thread; costs little if
     * there is no entry for the request.
     *
     * @param digest the request
     */
    public void recordSuccess(RequestDigest digest) {
        if (mTable.contains(digest)) {
            mControl.execute(() -> removeEntry(digest, "succeeded"));
        }
    }

    /**
     * Removes the crashes of a request that this gateway knows, as an operator asks. May be called
     * by any thread.
     *
     * @param digest the request
     */
    public void clear(RequestDigest digest) {
        mControl.execute(() -> removeEntry(digest, "cleared"));
    }

    /** Returns the time in milliseconds until the quarantine of a request ends; 0 without one. */
    public long remainingQuarantineMillis(RequestDigest digest) {
        return Math.max(0, mTable.quarantineEndMillis(digest) - nowMillis());
    }

    private long nowMillis() {
        return mClock.now().wallMillis();
    }

    /** Returns the number of changes that are not known to be written. */
    int pendingChanges() {
        return mPending.size() + mWriting.size();
    }

    // Changes

    private void addCrash(RequestDigest digest, Crash crash) {
        if (mTable.hasCrash(digest, crash)) {
            return;
        }
        addChange(table -> table.withCrash(digest, crash));
        LOG.info(
                "request_crash_recorded",
                "digest",
                digest,
                "target",
                crash.target(),
                "runMillis",
                crash.endedMillis() - crash.startedMillis(),
                "crashes",
                mTable.crashCount(digest),
                "independentCrashes",
                mTable.independentCrashCount(digest));
    }

    private void removeEntry(RequestDigest digest, String reason) {
        if (mTable.contains(digest)) {
            int crashes = mTable.crashCount(digest);
            // Crashes that are recorded later, possibly before this change is written, stay.
            CrashTable known = mTable;
            addChange(table -> table.withoutKnownCrashes(digest, known));
            LOG.info(
                    "request_crashes_removed",
                    "digest",
                    digest,
                    "reason",
                    reason,
                    "crashes",
                    crashes);
        }
    }

    private void addChange(Change change) {
        mPending.add(change);
        dropOldestPending();
        publish(change.applyTo(mTable));
        // The gateways that had requests on the same target do not write all at once.
        scheduleFlush(1 + mRandom.nextLong(FLUSH_DELAY_MILLIS));
    }

    private void dropOldestPending() {
        int dropped = 0;
        while (mPending.size() > MAX_PENDING_CHANGES) {
            mPending.remove();
            dropped++;
        }
        if (dropped > 0) {
            LOG.warn("crash_changes_dropped", "count", dropped, "reason", "store not written");
        }
    }

    /** Publishes the stored table with the changes that are not known to be written. */
    private void publishStored() {
        publish(applyPending(apply(mWriting, mStored)));
    }

    private void publish(CrashTable table) {
        CrashTable before = mTable;
        mTable = table.withoutExpired(nowMillis());
        logQuarantineChanges(before, mTable);
    }

    private CrashTable applyPending(CrashTable table) {
        return apply(mPending, table);
    }

    private static CrashTable apply(Iterable<Change> changes, CrashTable table) {
        CrashTable result = table;
        for (Change change : changes) {
            result = change.applyTo(result);
        }
        return result;
    }

    private static void logQuarantineChanges(CrashTable before, CrashTable after) {
        for (String digest : after.quarantinedDigests()) {
            if (!before.quarantinedDigests().contains(digest)) {
                LOG.warn(
                        "request_quarantined",
                        "digest",
                        digest,
                        "crashes",
                        after.crashCount(new RequestDigest(digest)));
            }
        }
        for (String digest : before.quarantinedDigests()) {
            if (!after.quarantinedDigests().contains(digest)) {
                LOG.info("request_quarantine_ended", "digest", digest);
            }
        }
    }

    // Store

    /**
     * Adopts the row if it is newer than the known one. Call on the control thread, after each
     * read.
     *
     * @param row the row as read; may be absent
     */
    void onRow(StoredRow row) {
        if (row.version() > mStoredVersion) {
            adopt(row);
        }
        publishStored();
    }

    private void adopt(StoredRow row) {
        mStoredVersion = row.version();
        // An unreadable row must not release what is known to crash targets.
        mStored =
                row.exists()
                        ? JsonRowCodec.decode(row, CrashTable.class).orElse(mStored)
                        : CrashTable.EMPTY;
    }

    private void scheduleFlush(long delayMillis) {
        if (!mFlushScheduled && mWriting.isEmpty()) {
            mFlushScheduled = true;
            mControl.schedule(this::flush, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void flush() {
        mFlushScheduled = false;
        CrashTable next = applyPending(mStored).withoutExpired(nowMillis());
        if (next.equals(mStored)) {
            mPending.clear();
            publishStored();
            return;
        }
        mWriting = new ArrayList<>(mPending);
        mPending.clear();
        long version = mStoredVersion;
        mStore.commit(RowTransaction.put(ROW, version, JsonRowCodec.encode(next)))
                .whenCompleteAsync(
                        (commit, error) -> onWritten(next, version, commit, error), mControl);
    }

    private void onWritten(
            CrashTable written, long expectedVersion, RowCommit commit, Throwable error) {
        List<Change> changes = mWriting;
        mWriting = List.of();
        if (error == null && commit.committed()) {
            onCommitted(written, commit.version());
            return;
        }
        restorePending(changes);
        if (error != null) {
            LOG.warn(
                    "crashes_write_failed",
                    "changes",
                    mPending.size(),
                    "reason",
                    error.getMessage());
            scheduleFlush(RETRY_DELAY_MILLIS);
        } else {
            onConflict(expectedVersion, commit);
            scheduleFlush(mRandom.nextLong(MAX_CONFLICT_DELAY_MILLIS));
        }
    }

    private void onCommitted(CrashTable written, long version) {
        if (version > mStoredVersion) {
            mStored = written;
            mStoredVersion = version;
        }
        publishStored();
        if (!mPending.isEmpty()) {
            scheduleFlush(0);
        }
    }

    /** Puts changes that were not written before those that came later. */
    private void restorePending(List<Change> changes) {
        for (int i = changes.size() - 1; i >= 0; i--) {
            mPending.addFirst(changes.get(i));
        }
        dropOldestPending();
    }

    private void onConflict(long expectedVersion, RowCommit commit) {
        StoredRow currentRow =
                commit.currentRows().stream()
                        .filter(row -> row.key().equals(ROW))
                        .findFirst()
                        .orElse(StoredRow.absent(ROW));
        // A lower version than the expected one means that the row was removed and made again. A
        // read may meanwhile have returned a newer row than the conflict did.
        if (mStoredVersion == expectedVersion || currentRow.version() > mStoredVersion) {
            adopt(currentRow);
        }
        publishStored();
    }
}
