package org.heathercourse.gateway.control;

import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.heathercourse.core.crash.CrashEntry;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Reads and clears the gateways' record of requests that crash targets, for an operator. Gateways
 * adopt the written table with their next read.
 *
 * <p>The row is never removed, because gateways adopt only a newer version of it. Entries that have
 * expired are neither returned nor removed, so that a wrong clock of the operator's machine does
 * not end a quarantine.
 *
 * <p>Futures fail with a {@link org.heathercourse.platform.StoreException} if the store does not
 * answer, and with another {@link HeathercourseException} if the row is not readable. Safe for use
 * by several threads.
 */
public final class CrashTableEditor {
    /** Maximum number of writes that fail because a gateway wrote first. */
    static final int MAX_CONFLICTS = 50;

    /** Maximum number of writes without a reply. */
    private static final int MAX_LOST_WRITES = 3;

    private final RowStore mStore;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final RandomGenerator mRandom;

    /**
     * The result of a removal. Immutable.
     *
     * @param entries the removed entries, in the order of their digests
     * @param newlyQuarantined digests that are quarantined now and were not before; among them are
     *     requests whose crashes a removed entry explained
     */
    public record Cleared(List<CrashEntry> entries, Set<String> newlyQuarantined) {
        /** Copies the collections. */
        public Cleared {
            entries = List.copyOf(entries);
            newlyQuarantined = Set.copyOf(newlyQuarantined);
        }
    }

    /**
     * Creates an editor.
     *
     * @param store store of the row
     * @param executor delays writes after a conflict
     * @param clock wall clock that decides which entries have expired
     * @param random spreads writes after a conflict
     */
    public CrashTableEditor(
            RowStore store,
            ScheduledExecutorService executor,
            Clock clock,
            RandomGenerator random) {
        mStore = store;
        mExecutor = executor;
        mClock = clock;
        mRandom = random;
    }

    /** Reads the table without the entries that have expired. */
    public CompletableFuture<CrashTable> read() {
        return mStore.read(CrashRecordService.ROW)
                .thenApply(row -> decode(row).withoutExpired(mClock.millis()));
    }

    /**
     * Removes the entry of a request.
     *
     * @param digest the request
     * @return what was removed; without entries if there was none for the request
     */
    public CompletableFuture<Cleared> clear(RequestDigest digest) {
        return new Removal(table -> table.withoutDigest(digest)).attempt();
    }

    /**
     * Removes all entries.
     *
     * @return what was removed; without entries if there were none
     */
    public CompletableFuture<Cleared> clearAll() {
        return new Removal(table -> CrashTable.EMPTY).attempt();
    }

    private static CrashTable decode(StoredRow row) {
        if (!row.exists()) {
            return CrashTable.EMPTY;
        }
        return JsonRowCodec.decode(row, CrashTable.class)
                .orElseThrow(
                        () ->
                                new HeathercourseException(
                                        ErrorKind.INTERNAL,
                                        "the row of crashes is not readable",
                                        "gateways take it as empty and replace it after the next"
                                                + " crash; check who else writes to the store"));
    }

    /** One removal with its retries, which run one after the other. */
    private final class Removal {
        private final UnaryOperator<CrashTable> mChange;
        private final Map<String, CrashEntry> mPossiblyRemoved = new TreeMap<>();
        private Set<String> mQuarantinedBefore;
        private int mConflicts;
        private int mLostWrites;

        Removal(UnaryOperator<CrashTable> change) {
            mChange = change;
        }

        CompletableFuture<Cleared> attempt() {
            return mStore.read(CrashRecordService.ROW).thenCompose(this::write);
        }

        private CompletableFuture<Cleared> write(StoredRow row) {
            CrashTable stored = decode(row);
            CrashTable current = stored.withoutExpired(mClock.millis());
            if (mQuarantinedBefore == null) {
                mQuarantinedBefore = current.quarantinedDigests();
            }
            CrashTable next = mChange.apply(stored);
            List<CrashEntry> removed =
                    current.entries().stream()
                            .filter(entry -> !next.contains(new RequestDigest(entry.digest())))
                            .toList();
            if (removed.isEmpty()) {
                return CompletableFuture.completedFuture(result(removed, current));
            }
            byte[] value = JsonRowCodec.encode(next);
            return mStore.commit(RowTransaction.put(CrashRecordService.ROW, row.version(), value))
                    .handle((commit, error) -> onWritten(removed, next, commit, error))
                    .thenCompose(Function.identity());
        }

        private CompletableFuture<Cleared> onWritten(
                List<CrashEntry> removed, CrashTable next, RowCommit commit, Throwable error) {
            if (error != null) {
                // The write may have taken effect; the next read shows whether it has.
                removed.forEach(entry -> mPossiblyRemoved.put(entry.digest(), entry));
                return ++mLostWrites < MAX_LOST_WRITES
                        ? attempt()
                        : CompletableFuture.failedFuture(error);
            }
            if (commit.committed()) {
                CrashTable written = next.withoutExpired(mClock.millis());
                return CompletableFuture.completedFuture(result(removed, written));
            }
            return ++mConflicts < MAX_CONFLICTS
                    ? pause().thenCompose(ignored -> attempt())
                    : CompletableFuture.failedFuture(tooManyConflicts());
        }

        private Cleared result(List<CrashEntry> removed, CrashTable after) {
            Map<String, CrashEntry> entries = new TreeMap<>(mPossiblyRemoved);
            removed.forEach(entry -> entries.put(entry.digest(), entry));
            Set<String> newlyQuarantined = new HashSet<>(after.quarantinedDigests());
            newlyQuarantined.removeAll(mQuarantinedBefore);
            return new Cleared(List.copyOf(entries.values()), newlyQuarantined);
        }

        private CompletableFuture<Void> pause() {
            CompletableFuture<Void> end = new CompletableFuture<>();
            long delayMillis = 1 + mRandom.nextLong(CrashRecordService.MAX_CONFLICT_DELAY_MILLIS);
            mExecutor.schedule(() -> end.complete(null), delayMillis, TimeUnit.MILLISECONDS);
            return end;
        }

        private static HeathercourseException tooManyConflicts() {
            return new HeathercourseException(
                    ErrorKind.CONFLICT,
                    "gateways wrote first at each of " + MAX_CONFLICTS + " writes",
                    "run the command again");
        }
    }
}
