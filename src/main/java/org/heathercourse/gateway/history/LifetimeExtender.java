package org.heathercourse.gateway.history;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.history.TurnRowCodec;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Extends the lifetimes of rows that later turns need. Row and expiry entry change in the same
 * transaction, so that a sweeper that read the old entry removes nothing. Thread-safe.
 */
final class LifetimeExtender {
    private final RowStore mStore;
    private final StoreCalls mCalls;
    private final HistoryMetrics mMetrics;

    /**
     * An extension.
     *
     * @param key key of the turn
     * @param neededUntilMillis time until which the row must be kept
     * @param newUntilMillis time until which it is kept if it must be extended
     */
    record Extension(String key, long neededUntilMillis, long newUntilMillis) {}

    LifetimeExtender(RowStore store, StoreCalls calls, HistoryMetrics metrics) {
        mStore = store;
        mCalls = calls;
        mMetrics = metrics;
    }

    /**
     * Extends the lifetime of a row if necessary.
     *
     * @return whether the row is kept as long as necessary; false if there is none; fails if it is
     *     not certain
     */
    CompletableFuture<Boolean> extend(Extension extension, StoreCalls.TimeLimit limit) {
        RowKey rowKey = TurnKeys.turnRow(extension.key());
        return mCalls.call(limit, () -> mStore.read(rowKey))
                .thenCompose(
                        row ->
                                row.exists()
                                        ? extend(extension, row, limit)
                                        : CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<Boolean> extend(
            Extension extension, StoredRow row, StoreCalls.TimeLimit limit) {
        TurnRowCodec.Header header =
                TurnRowCodec.decodeHeader(row.value())
                        .orElseThrow(() -> failure(extension, "it cannot be decoded"));
        if (header.retainedUntilMillis() >= extension.neededUntilMillis()) {
            return CompletableFuture.completedFuture(true);
        }
        RowTransaction transaction = transaction(extension, row, header);
        return mCalls.call(limit, () -> mStore.commit(transaction))
                .thenCompose(commit -> onCommit(extension, commit, limit));
    }

    private static RowTransaction transaction(
            Extension extension, StoredRow row, TurnRowCodec.Header header) {
        ExpiryEntry entry = ExpiryEntry.ofTurn(extension.key(), header.writer());
        RowKey oldEntry = TurnKeys.expiryRow(entry, header.retainedUntilMillis());
        RowKey newEntry = TurnKeys.expiryRow(entry, extension.newUntilMillis());
        byte[] value = TurnRowCodec.withRetainedUntil(row.value(), extension.newUntilMillis());
        RowTransaction.Builder builder =
                RowTransaction.builder()
                        .put(row.key(), row.version(), value)
                        .put(newEntry, RowTransaction.ANY_VERSION, entry.encode());
        if (!oldEntry.equals(newEntry)) {
            builder.remove(oldEntry, RowTransaction.ANY_VERSION);
        }
        return builder.build();
    }

    private CompletableFuture<Boolean> onCommit(
            Extension extension, RowCommit commit, StoreCalls.TimeLimit limit) {
        if (commit.committed()) {
            mMetrics.recordLifetimeExtended();
            return CompletableFuture.completedFuture(true);
        }
        // Another turn extended the row, an earlier call took effect, or the row was removed.
        return limit.remainingMillis() > 0
                ? extend(extension, limit)
                : CompletableFuture.failedFuture(failure(extension, "it changes too often"));
    }

    private static StoreException failure(Extension extension, String reason) {
        return StoreException.unavailable(
                "lifetime of turn " + extension.key() + " cannot be extended: " + reason, null);
    }
}
