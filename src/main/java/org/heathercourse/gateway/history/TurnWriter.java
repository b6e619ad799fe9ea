package org.heathercourse.gateway.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.history.TurnRow;
import org.heathercourse.core.history.TurnRowCodec;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Writes the rows of turns, each on the condition that it is absent, so that a write that is
 * repeated or delayed takes effect once. Safe for use by several threads.
 */
final class TurnWriter {
    /**
     * Maximum number of continuations in one transaction. With Base64 they and the turn's own row
     * take 905,000 of the 1,000,000 bytes of a transaction.
     */
    static final int MAX_CONTINUATIONS = 10;

    private final RowStore mStore;
    private final StoreCalls mCalls;
    private final RowReader mReader;
    private final HistoryMetrics mMetrics;

    TurnWriter(RowStore store, StoreCalls calls, RowReader reader, HistoryMetrics metrics) {
        mStore = store;
        mCalls = calls;
        mReader = reader;
        mMetrics = metrics;
    }

    /**
     * Writes a turn.
     *
     * @param key key of the turn
     * @param row the turn
     * @param limit limit of the time
     * @return size of the written values in bytes; fails if it is not certain that the store has
     *     the turn, or if it has another turn with the same key
     */
    CompletableFuture<Integer> write(String key, TurnRow row, StoreCalls.TimeLimit limit) {
        List<byte[]> values = TurnRowCodec.encode(row);
        List<RowTransaction> transactions = transactions(key, row, values);
        RowTransaction last = transactions.get(transactions.size() - 1);
        CompletableFuture<?> written = CompletableFuture.completedFuture(null);
        for (RowTransaction earlier : transactions.subList(0, transactions.size() - 1)) {
            written = written.thenCompose(done -> mCalls.call(limit, () -> mStore.commit(earlier)));
        }
        return written.thenCompose(done -> mCalls.call(limit, () -> mStore.commit(last)))
                .thenCompose(commit -> onCommit(key, row, commit, limit))
                .thenApply(done -> values.stream().mapToInt(value -> value.length).sum());
    }

    /** Returns the transactions of a turn; the last one has the turn's own row. */
    private static List<RowTransaction> transactions(String key, TurnRow row, List<byte[]> values) {
        List<RowTransaction> transactions = new ArrayList<>();
        RowTransaction.Builder builder = RowTransaction.builder();
        int continuations = values.size() - 1;
        for (int from = 0; from < continuations; from += MAX_CONTINUATIONS) {
            int count = Math.min(MAX_CONTINUATIONS, continuations - from);
            if (from > 0) {
                transactions.add(builder.build());
                builder = RowTransaction.builder();
            }
            for (int i = from; i < from + count; i++) {
                RowKey continuation = TurnKeys.continuationRow(key, row.writer(), i);
                builder.put(continuation, RowTransaction.ANY_VERSION, values.get(i + 1));
            }
            addEntry(builder, new ExpiryEntry(key, row.writer(), from, count), row);
        }
        builder.put(TurnKeys.turnRow(key), StoredRow.ABSENT, values.get(0));
        addEntry(builder, ExpiryEntry.ofTurn(key, row.writer()), row);
        transactions.add(builder.build());
        return transactions;
    }

    private static void addEntry(RowTransaction.Builder builder, ExpiryEntry entry, TurnRow row) {
        RowKey entryKey = TurnKeys.expiryRow(entry, row.lifetime().retainedUntilMillis());
        builder.put(entryKey, RowTransaction.ANY_VERSION, entry.encode());
    }

    private CompletableFuture<Void> onCommit(
            String key, TurnRow row, RowCommit commit, StoreCalls.TimeLimit limit) {
        if (commit.committed()) {
            return CompletableFuture.completedFuture(null);
        }
        Optional<StoredRow> current =
                commit.currentRows().stream()
                        .filter(r -> r.key().equals(TurnKeys.turnRow(key)) && r.exists())
                        .findFirst();
        if (current.isEmpty()) {
            return CompletableFuture.failedFuture(
                    StoreException.outcomeUnknown(
                            "the store rejected the write of turn " + key + ", which is absent",
                            null));
        }
        boolean isOwn =
                TurnRowCodec.decodeHeader(current.get().value())
                        .map(header -> header.writer() == row.writer())
                        .orElse(false);
        if (isOwn) {
            mMetrics.recordWriteRecognized();
            return CompletableFuture.completedFuture(null);
        }
        return mReader.decode(key, current.get(), limit)
                .thenAccept(other -> requireSameContent(key, row, other));
    }

    private static void requireSameContent(String key, TurnRow row, TurnRow other) {
        if (!row.hasSameContent(other)) {
            // A caller may have seen the response of the turn in the store; it is not replaced.
            throw HeathercourseException.builder(ErrorKind.CONFLICT)
                    .message("the store has another turn with the key " + key)
                    .remedy("use another request id for each turn")
                    .notRun(false)
                    .build();
        }
    }
}
