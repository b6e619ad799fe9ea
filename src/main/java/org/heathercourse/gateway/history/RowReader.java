package org.heathercourse.gateway.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heathercourse.core.history.TurnRow;
import org.heathercourse.core.history.TurnRowCodec;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoredRow;

/** Reads the rows of turns with their continuations. Safe for use by several threads. */
final class RowReader {
    private static final EventLog LOG = EventLog.of(RowReader.class);

    private final RowStore mStore;
    private final StoreCalls mCalls;

    RowReader(RowStore store, StoreCalls calls) {
        mStore = store;
        mCalls = calls;
    }

    /**
     * Reads the row of a turn.
     *
     * @param key key of the turn
     * @param limit limit of the time
     * @return the row; empty if it is certain that there is none; fails if it is not certain
     */
    CompletableFuture<Optional<TurnRow>> read(String key, StoreCalls.TimeLimit limit) {
        return mCalls.call(limit, () -> mStore.read(TurnKeys.turnRow(key)))
                .thenCompose(
                        row ->
                                row.exists()
                                        ? decode(key, row, limit).thenApply(Optional::of)
                                        : CompletableFuture.completedFuture(Optional.empty()));
    }

    /**
     * Decodes a row that exists, and reads its continuations.
     *
     * @return the row; fails with a {@link StoreException} if it cannot be decoded
     */
    CompletableFuture<TurnRow> decode(String key, StoredRow row, StoreCalls.TimeLimit limit) {
        Optional<TurnRowCodec.Header> header = TurnRowCodec.decodeHeader(row.value());
        if (header.isEmpty()) {
            return CompletableFuture.failedFuture(unreadable(key, "its header"));
        }
        List<Supplier<CompletableFuture<StoredRow>>> reads = new ArrayList<>();
        for (int i = 0; i < header.get().continuations(); i++) {
            RowKey rowKey = TurnKeys.continuationRow(key, header.get().writer(), i);
            reads.add(() -> mCalls.call(limit, () -> mStore.read(rowKey)));
        }
        return GroupedReads.read(reads).thenApply(rows -> assemble(key, row, rows));
    }

    private static TurnRow assemble(String key, StoredRow row, List<StoredRow> continuations) {
        List<byte[]> values = new ArrayList<>();
        values.add(row.value());
        continuations.forEach(continuation -> values.add(continuation.value()));
        return TurnRowCodec.decode(values).orElseThrow(() -> unreadable(key, "its content"));
    }

    private static StoreException unreadable(String key, String what) {
        LOG.warn("history_row_unreadable", "turn", key, "reason", what);
        return StoreException.unavailable(
                "row of turn " + key + " cannot be decoded: " + what, null);
    }
}
