package org.heathercourse.gateway.history;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.history.History;
import org.heathercourse.core.history.HistoryTooLargeException;
import org.heathercourse.core.history.Lifetime;
import org.heathercourse.core.history.TurnRow;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowStore;

/**
 * Histories of turns in rows of the store. All decisions are made by conditional writes, so that
 * any gateway can read and continue any turn. Safe for use by several threads.
 */
public final class StoreTurnHistory implements TurnHistory {
    /**
     * Maximum time in milliseconds for which the calls of a read are repeated. Covers one lost
     * reply and a repeated call; callers repeat the turn after that.
     */
    static final long MAX_READ_MILLIS = 1_500;

    /** Size of the input and output in bytes up to which a turn does not wait for larger ones. */
    private static final int MAX_SMALL_TURN_BYTES = 64 * 1024;

    /**
     * Maximum size in bytes of the small turns that are being written. Their memory is about six
     * times that, and the heap is 72 MB.
     */
    private static final long MAX_SMALL_WRITES_BYTES = 1024 * 1024;

    /**
     * Maximum size in bytes of the larger turns that are being written, or of a single one. Their
     * memory is about twice that, and that of one transaction each.
     */
    private static final long MAX_LARGE_WRITES_BYTES = 2 * 1024 * 1024;

    private static final EventLog LOG = EventLog.of(StoreTurnHistory.class);

    private final ScheduledExecutorService mControl;
    private final Clock mWallClock;
    private final HistoryMetrics mMetrics;
    private final long mMaxHistoryBytes;
    private final RandomGenerator mRandom;
    private final RowCache mCache = new RowCache();
    private final StoreAvailability mAvailability;
    private final StoreCalls mCalls;
    private final RowReader mReader;
    private final TurnWriter mWriter;
    private final LifetimeExtender mExtender;
    private final WorkGate mSmallWrites = new WorkGate(MAX_SMALL_WRITES_BYTES);
    private final WorkGate mLargeWrites = new WorkGate(MAX_LARGE_WRITES_BYTES);

    /**
     * Creates the storage.
     *
     * @param store the store
     * @param control thread for continuations and retries
     * @param clock measures waits
     * @param wallClock clock of the ends of retentions
     * @param metrics metrics of histories
     * @param maxHistoryBytes maximum size of a history in bytes
     * @param random source of delays and of the numbers of writes; used on the control thread only
     */
    public StoreTurnHistory(
            RowStore store,
            ScheduledExecutorService control,
            SuspendAwareClock clock,
            Clock wallClock,
            HistoryMetrics metrics,
            long maxHistoryBytes,
            RandomGenerator random) {
        mControl = control;
        mWallClock = wallClock;
        mMetrics = metrics;
        mMaxHistoryBytes = maxHistoryBytes;
        mRandom = random;
        mAvailability = new StoreAvailability(store, control, clock);
        mCalls = new StoreCalls(control, clock, mAvailability, metrics, random);
        mReader = new RowReader(store, mCalls);
        mWriter = new TurnWriter(store, mCalls, mReader, metrics);
        mExtender = new LifetimeExtender(store, mCalls, metrics);
    }

    @Override
    public boolean isAvailable() {
        return mAvailability.isAvailable();
    }

    // Reads

    /**
     * {@inheritDoc}
     *
     * <p>Fails with a {@link HistoryTooLargeException} if the history is larger than the maximum.
     */
    @Override
    public CompletableFuture<Optional<History>> read(
            String workspace, String turnId, HistoryAdmission admission) {
        String key = TurnKeys.turn(workspace, turnId);
        StoreCalls.TimeLimit limit = mCalls.timeLimit(MAX_READ_MILLIS);
        return observed(
                readRow(key, limit).thenCompose(row -> readHistory(key, row, admission, limit)),
                (history, error) -> recordRead(key, history, error));
    }

    private void recordRead(String key, Optional<History> history, Throwable error) {
        if (error != null) {
            mMetrics.recordReadFailed();
            LOG.info("history_not_read", "turn", key, "reason", error.getMessage());
        } else if (history.isEmpty()) {
            mMetrics.recordReadAbsent();
            LOG.info("history_absent", "turn", key);
        }
    }

    private CompletableFuture<Optional<TurnRow>> readRow(String key, StoreCalls.TimeLimit limit) {
        Optional<TurnRow> cached = mCache.get(key).filter(this::isRetained);
        if (cached.isPresent()) {
            mMetrics.recordCacheHit();
            return CompletableFuture.completedFuture(cached);
        }
        mMetrics.recordCacheMiss();
        return mReader.read(key, limit)
                .thenApply(
                        row -> {
                            Optional<TurnRow> retained = row.filter(this::isRetained);
                            retained.ifPresent(r -> mCache.put(key, r));
                            return retained;
                        });
    }

    private boolean isRetained(TurnRow row) {
        return row.lifetime().isRetained(mWallClock.millis());
    }

    private CompletableFuture<Optional<History>> readHistory(
            String key,
            Optional<TurnRow> row,
            HistoryAdmission admission,
            StoreCalls.TimeLimit limit) {
        if (row.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (row.get().historyBytes() > mMaxHistoryBytes) {
            return CompletableFuture.failedFuture(
                    new HistoryTooLargeException(row.get().historyBytes(), mMaxHistoryBytes));
        }
        return admission
                .admit(row.get().historyBytes())
                .thenCompose(isAdmitted -> readBases(key, row.get(), isAdmitted, limit));
    }

    private CompletableFuture<Optional<History>> readBases(
            String key, TurnRow row, boolean isAdmitted, StoreCalls.TimeLimit limit) {
        if (!isAdmitted) {
            return CompletableFuture.failedFuture(
                    new HistoryNotAdmittedException(row.historyBytes()));
        }
        List<Supplier<CompletableFuture<Optional<TurnRow>>>> reads = new ArrayList<>();
        row.bases().forEach(base -> reads.add(() -> readRow(base.key(), limit)));
        return GroupedReads.read(reads).thenApply(bases -> assemble(key, row, bases));
    }

    private Optional<History> assemble(String key, TurnRow row, List<Optional<TurnRow>> baseRows) {
        List<byte[]> segments = new ArrayList<>();
        List<TurnRow.Base> bases = new ArrayList<>();
        boolean isWhole = baseRows.stream().allMatch(Optional::isPresent);
        if (!isWhole && !row.lifetime().isNeeded(mWallClock.millis())) {
            return Optional.empty();
        }
        for (int i = 0; i < baseRows.size(); i++) {
            String baseKey = row.bases().get(i).key();
            TurnRow base = baseRows.get(i).orElseThrow(() -> incomplete(key, baseKey));
            segments.add(base.segment());
            bases.add(new TurnRow.Base(baseKey, base.lifetime().retainedUntilMillis()));
        }
        StoredHistory history = new StoredHistory(key, row.withBases(bases), segments);
        if (history.sizeBytes() != row.historyBytes()) {
            throw incomplete(key, "its size");
        }
        return Optional.of(history);
    }

    /** The turn is retained, so its bases must be; the caller must not be told that it is gone. */
    private static StoreException incomplete(String key, String what) {
        LOG.warn("history_incomplete", "turn", key, "missing", what);
        return StoreException.unavailable(
                "history of turn " + key + " is incomplete: " + what, null);
    }

    /** Returns a future that fails with the cause itself, after the outcome was observed. */
    private static <T> CompletableFuture<T> observed(
            CompletableFuture<T> future, BiConsumer<T, Throwable> observer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        future.whenComplete(
                (value, error) -> {
                    Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
                    observer.accept(value, cause);
                    if (cause == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(cause);
                    }
                });
        return result;
    }

    // Writes

    /**
     * {@inheritDoc}
     *
     * <p>Fails with {@link org.heathercourse.core.error.ErrorKind#CONFLICT} if the store has
     * another turn with the same id.
     */
    @Override
    public CompletableFuture<Void> append(
            String workspace,
            String turnId,
            History parent,
            byte[] input,
            byte[] output,
            long retentionMillis,
            long maxWaitMillis) {
        String key = TurnKeys.turn(workspace, turnId);
        StoredHistory history = (StoredHistory) parent;
        StoreCalls.TimeLimit limit = mCalls.timeLimit(maxWaitMillis);
        Supplier<CompletableFuture<Void>> write =
                () -> write(key, history, joined(input, output), retentionMillis, limit);
        int addedBytes = input.length + output.length;
        CompletableFuture<Void> written =
                gate(addedBytes)
                        .run(
                                addedBytes + (parent == null ? 0 : TurnRow.MAX_SEGMENT_BYTES),
                                () ->
                                        CompletableFuture.supplyAsync(write, mControl)
                                                .thenCompose(done -> done));
        CompletableFuture<Void> result =
                observed(written, (done, error) -> recordFailedWrite(key, error));
        result.whenComplete((done, error) -> written.cancel(false));
        return result;
    }

    private WorkGate gate(int addedBytes) {
        return addedBytes <= MAX_SMALL_TURN_BYTES ? mSmallWrites : mLargeWrites;
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    private void recordFailedWrite(String key, Throwable error) {
        if (error != null) {
            mMetrics.recordWriteFailed();
            String reason =
                    error instanceof CancellationException
                            ? "the call has ended"
                            : error.getMessage();
            LOG.warn("history_not_written", "turn", key, "reason", reason);
        }
    }

    private CompletableFuture<Void> write(
            String key,
            StoredHistory parent,
            byte[] added,
            long retentionMillis,
            StoreCalls.TimeLimit limit) {
        if (limit.remainingMillis() == 0) {
            return CompletableFuture.failedFuture(
                    StoreException.unavailable("other turns took too long to write", null));
        }
        long writer = mRandom.nextLong();
        Lifetime lifetime = Lifetime.beginningAt(mWallClock.millis(), retentionMillis);
        TurnRow row =
                parent == null
                        ? TurnRow.first(writer, lifetime, added)
                        : parent.row().child(parent.key(), writer, lifetime, added);
        CompletableFuture<Integer> written = mWriter.write(key, row, limit);
        CompletableFuture<Void> extended = extendBases(row, limit);
        return written.thenCombine(
                extended,
                (bytes, done) -> {
                    mCache.put(key, row);
                    mMetrics.recordKept(bytes, limit.elapsedMillis());
                    return null;
                });
    }

    /** Extends the lifetimes of those bases that would not be kept as long as the turn. */
    private CompletableFuture<Void> extendBases(TurnRow row, StoreCalls.TimeLimit limit) {
        long neededUntilMillis = row.lifetime().neededUntilMillis();
        List<Supplier<CompletableFuture<Void>>> extensions = new ArrayList<>();
        for (TurnRow.Base base : row.bases()) {
            if (base.retainedUntilMillis() < neededUntilMillis) {
                LifetimeExtender.Extension extension =
                        new LifetimeExtender.Extension(
                                base.key(),
                                neededUntilMillis,
                                row.lifetime().retainedUntilMillis());
                extensions.add(() -> requireExtended(extension, limit));
            }
        }
        // Bases that were extended together lapse together, and each takes as much memory as a
        // read.
        return GroupedReads.read(extensions).thenAccept(done -> {});
    }

    private CompletableFuture<Void> requireExtended(
            LifetimeExtender.Extension extension, StoreCalls.TimeLimit limit) {
        return mExtender
                .extend(extension, limit)
                .thenAccept(
                        isKept -> {
                            if (!isKept) {
                                throw incomplete(extension.key(), "removed while a turn ran");
                            }
                            // Later turns then need not check this base again.
                            mCache.get(extension.key())
                                    .map(r -> r.withRetainedUntil(extension.neededUntilMillis()))
                                    .ifPresent(r -> mCache.put(extension.key(), r));
                        });
    }
}
